package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// modelStore moves 4 models at once at full speed, a second each.
func modelStore() *store { return &store{parallel: 4, speed: float64(core.GiB)} }

// adapterStore moves 30 adapters at once, 5 ms each.
func adapterStore() *store { return &store{parallel: 30, speed: float64(20*core.MiB) / 0.005} }

func report(t *testing.T, name string, w []time.Duration) {
	t.Helper()
	t.Logf("%s: %d loads, p50 %v, p99 %v, max %v", name, len(w), quantile(w, 0.5).Round(time.Millisecond),
		quantile(w, 0.99).Round(time.Millisecond), quantile(w, 1).Round(time.Millisecond))
}

// burst has n agents want a load each at once: a fifth with a person waiting.
func burst(p *play, n int, size core.Bytes) {
	for i := range n {
		a := Ask{Size: size, Owner: core.OwnerName(fmt.Sprint("owner-", i%50))}
		switch {
		case i%5 == 0:
			a.Class, a.Deadline = core.Interactive, start.Add(90*time.Second)
		case i%5 < 3:
			a.Class, a.Deadline = core.Evening, start.Add(6*time.Minute)
		default:
			a.Class, a.Deadline = core.Overnight, start.Add(8*time.Hour)
		}
		p.want(i, a)
	}
}

func inTime(l *load) bool { return !l.ended.After(l.ask.Deadline) }

func interactive(l *load) bool { return l.ask.Class == core.Interactive }

// A thousand models are wanted at once. If all are read at once, each takes as
// long as all together; people in front of clients wait as long as the night's
// reviews.
func TestBurstOfWakeUps(t *testing.T) {
	naive := newPlay(modelStore(), nil)
	burst(naive, 1000, core.GiB)
	naive.run(20 * time.Minute)
	ours := newPlay(modelStore(), &Pool{Rate: 4, Parallel: 4})
	burst(ours, 1000, core.GiB)
	ours.run(20 * time.Minute)
	report(t, "all at once", waits(naive.done, all))
	report(t, "slots", waits(ours.done, all))
	report(t, "all at once, interactive", waits(naive.done, interactive))
	report(t, "slots, interactive", waits(ours.done, interactive))
	timely := func(l *load) bool { return interactive(l) && inTime(l) }
	assert.Equal(t, len(waits(naive.done, timely)), 0)
	assert.Equal(t, len(waits(ours.done, timely)), 200)
	assert.Equal(t, ours.store.most, 4)
	// Overnight loads are not starved while the others wait.
	night := waits(ours.done, func(l *load) bool { return l.ask.Class == core.Overnight })
	assert.Assert(t, night[0] < 10*time.Second)
	assert.Equal(t, len(ours.done), 1000)
}

func TestBurstOfAdapters(t *testing.T) {
	naive := newPlay(adapterStore(), nil)
	burst(naive, 1000, 20*core.MiB)
	naive.run(time.Minute)
	ours := newPlay(adapterStore(), &Pool{Parallel: 30})
	burst(ours, 1000, 20*core.MiB)
	ours.run(time.Minute)
	report(t, "all at once", waits(naive.done, all))
	report(t, "slots", waits(ours.done, all))
	assert.Equal(t, ours.store.most, 30)
	assert.Assert(t, quantile(waits(ours.done, all), 0.5) < quantile(waits(naive.done, all), 0.5)*2/3)
	assert.Assert(t, quantile(waits(ours.done, all), 1) <= quantile(waits(naive.done, all), 1)*11/10)
}

// The store slows to a quarter while loads keep coming. Where transfers share
// what is left, fewer at once end sooner; where each is slow by itself, fewer
// at once would only lose throughput.
func TestSlowStore(t *testing.T) {
	for _, shared := range []bool{true, false} {
		t.Run(fmt.Sprintf("shared=%v", shared), func(t *testing.T) {
			s := modelStore()
			s.shared = shared
			p := newPlay(s, &Pool{Rate: 4, Parallel: 4})
			for i := range 400 {
				p.after(time.Duration(i)*800*time.Millisecond, func() {
					p.want(i, Ask{Size: core.GiB, Deadline: start.Add(time.Hour)})
				})
			}
			p.run(30 * time.Second)
			assert.Equal(t, p.pool.Limit(p.now), 4)
			p.slowTo(0.25)
			p.run(30 * time.Second)
			slowFrom, before := p.now, len(p.done)
			p.run(180 * time.Second)
			limit := p.pool.Limit(p.now)
			rate := float64(len(p.done)-before) / 180
			transfers := waits(p.done, func(l *load) bool { return l.began.After(slowFrom) })
			mean := time.Duration(0)
			for _, l := range p.done {
				if l.began.After(slowFrom) {
					mean += l.ended.Sub(l.began) / time.Duration(len(transfers))
				}
			}
			t.Logf("slow: limit %d, %.2f loads/s of 1.00 possible, a transfer takes %v", limit, rate, mean.Round(time.Millisecond))
			assert.Assert(t, rate > 0.85)
			if shared {
				assert.Assert(t, mean < 2500*time.Millisecond)
			}
			p.slowTo(1)
			p.run(60 * time.Second)
			assert.Equal(t, p.pool.Limit(p.now), 4)
		})
	}
}

// One owner wakes 450 models at once, ten others two each a little later. The
// ten must not wait until the 450 are loaded.
func TestFewOwnersWithMostLoads(t *testing.T) {
	p := newPlay(modelStore(), &Pool{Rate: 4, Parallel: 4})
	for i := range 450 {
		p.want(i, Ask{Size: core.GiB, Owner: "large", Deadline: start.Add(10 * time.Minute)})
	}
	p.run(time.Second)
	for i := range 20 {
		p.want(450+i, Ask{Size: core.GiB, Owner: core.OwnerName(fmt.Sprint("small-", i%10)), Deadline: start.Add(11 * time.Minute)})
	}
	p.run(10 * time.Minute)
	small := waits(p.done, func(l *load) bool { return l.ask.Owner != "large" })
	report(t, "small owners", small)
	report(t, "large owner", waits(p.done, func(l *load) bool { return l.ask.Owner == "large" }))
	assert.Equal(t, len(small), 20)
	assert.Assert(t, small[19] < 15*time.Second)
}

// A host dies while it reads. Its slot must come free, but not before its
// renewals have stopped for a slot's lifetime.
func TestHolderDies(t *testing.T) {
	p := &Pool{Parallel: 1, Begins: start.Add(-Lifetime)}
	far := start.Add(time.Hour)
	assert.Equal(t, len(p.Ask(start, Ask{ID: "a", Deadline: far})), 1)
	assert.Equal(t, len(p.Ask(start, Ask{ID: "b", Deadline: far})), 0)
	renewed := start.Add(Lifetime / 2)
	assert.Equal(t, len(p.Ask(renewed, Ask{ID: "a", Deadline: far, Holding: true})), 1)
	p.Ask(renewed, Ask{ID: "b", Deadline: far})
	assert.Equal(t, len(p.Tick(start.Add(Lifetime))), 0)
	p.Ask(start.Add(Lifetime), Ask{ID: "b", Deadline: far})
	g := p.Tick(renewed.Add(Lifetime))
	assert.Equal(t, len(g), 1)
	assert.Equal(t, g[0].ID, "b")
}

// Another entry becomes the decider in the middle of a rush. It knows no slot
// yet; what is in flight must not double.
func TestDeciderChanges(t *testing.T) {
	p := newPlay(modelStore(), &Pool{Rate: 4, Parallel: 4})
	for i := range 200 {
		p.want(i, Ask{Size: 5 * core.GiB, Deadline: start.Add(time.Hour)})
	}
	for range 5 {
		p.run(23 * time.Second)
		p.pool = &Pool{Rate: 4, Parallel: 4, Begins: p.now}
		p.wakes = time.Time{}
	}
	p.run(20 * time.Minute)
	assert.Equal(t, p.store.most, 4)
	assert.Equal(t, len(p.done), 200)
}

// A load that nobody waits for any more takes no slot.
func TestPassedDeadlineLeavesLine(t *testing.T) {
	p := &Pool{Parallel: 1, Begins: start.Add(-Lifetime)}
	p.Ask(start, Ask{ID: "a", Deadline: start.Add(time.Hour)})
	p.Ask(start, Ask{ID: "b", Deadline: start.Add(time.Second)})
	assert.Equal(t, len(p.Release(start.Add(2*time.Second), "a", time.Second)), 0)
	assert.Equal(t, p.Waiting(), 0)
}

// The decider can't be reached. All 18 agents want ten models each; by their
// shares they must not crowd the store as all at once would. Then one agent
// alone wants ten, and must not be held to an eighteenth.
func TestLocalShare(t *testing.T) {
	fleet := func() *play {
		p := newPlay(modelStore(), nil)
		for i := range 18 {
			l := &Local{Rate: 4, Parallel: 4, Agents: 18, Random: rand.New(rand.NewPCG(uint64(i), 3))}
			l.Learn(core.GiB, time.Second)
			p.locals = append(p.locals, l)
		}
		return p
	}
	rush, naive := fleet(), newPlay(modelStore(), nil)
	for i := range 180 {
		a := Ask{Size: core.GiB, Deadline: start.Add(time.Hour)}
		rush.want(i%18, a)
		naive.want(i%18, a)
	}
	rush.run(30 * time.Minute)
	naive.run(30 * time.Minute)
	report(t, "all at once", waits(naive.done, all))
	report(t, "local shares", waits(rush.done, all))
	t.Logf("most in flight: %d at once, %d by shares", naive.store.most, rush.store.most)
	assert.Equal(t, len(rush.done), 180)
	assert.Assert(t, rush.store.most <= 18)
	assert.Assert(t, quantile(waits(rush.done, all), 1) < 2*quantile(waits(naive.done, all), 1))
	assert.Assert(t, quantile(waits(rush.done, all), 0.5) < quantile(waits(naive.done, all), 0.5))
	lonely := fleet()
	for range 10 {
		lonely.want(3, Ask{Size: core.GiB, Deadline: start.Add(time.Hour)})
	}
	lonely.run(10 * time.Minute)
	report(t, "one agent alone", waits(lonely.done, all))
	assert.Equal(t, len(lonely.done), 10)
	assert.Assert(t, quantile(waits(lonely.done, all), 1) < 45*time.Second) // 1/18 of 4 a second would take 45 s
}

// All of 640 agents lose the decider in a rush. The trickle lets too many start
// at first; what they see must then hold them back, and no throughput be lost.
func TestLocalShareOfLargeFleet(t *testing.T) {
	ours, naive := newPlay(modelStore(), nil), newPlay(modelStore(), nil)
	for i := range 640 {
		l := &Local{Rate: 4, Parallel: 4, Agents: 640, Random: rand.New(rand.NewPCG(uint64(i), 3))}
		l.Learn(core.GiB, time.Second)
		ours.locals = append(ours.locals, l)
	}
	for i := range 640 * 3 {
		a := Ask{Size: core.GiB, Deadline: start.Add(time.Hour)}
		ours.want(i%640, a)
		naive.want(i%640, a)
	}
	ours.run(40 * time.Minute)
	naive.run(40 * time.Minute)
	report(t, "640 agents, all at once", waits(naive.done, all))
	report(t, "640 agents, local shares", waits(ours.done, all))
	assert.Equal(t, len(ours.done), 640*3)
	assert.Assert(t, quantile(waits(ours.done, all), 0.5) < quantile(waits(naive.done, all), 0.5)*3/4)
	assert.Assert(t, quantile(waits(ours.done, all), 1) < quantile(waits(naive.done, all), 1)*11/10)
}

// The line is held against a naive one that sorts all requests anew each time,
// over random wishes, renewals with other deadlines, and withdrawals.
func TestLineAgainstNaive(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	var l line
	naive := make(map[string]Ask)
	turns := make(map[core.OwnerName]int)
	for step := range 5000 {
		a := Ask{
			ID: fmt.Sprint(rng.IntN(200)), Owner: core.OwnerName(fmt.Sprint(rng.IntN(9))),
			Class: core.Evening, Deadline: start.Add(time.Duration(rng.IntN(1000)) * time.Second),
		}
		switch rng.IntN(4) {
		case 0, 1:
			l.put(start, a)
			naive[a.ID] = a
		case 2:
			l.remove(a.ID)
			delete(naive, a.ID)
		case 3:
			if len(naive) == 0 {
				continue
			}
			var want Ask
			for _, n := range naive {
				if want.ID == "" || naiveBefore(turns, n, want) {
					want = n
				}
			}
			delete(naive, want.ID)
			turns[want.Owner] = step + 1
			assert.Equal(t, l.pop().ID, want.ID)
		}
		assert.Equal(t, l.len(), len(naive))
	}
}

func naiveBefore(turns map[core.OwnerName]int, a, b Ask) bool {
	if turns[a.Owner] != turns[b.Owner] {
		return turns[a.Owner] < turns[b.Owner]
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if a.Owner != b.Owner {
		return a.Owner < b.Owner
	}
	return a.ID < b.ID
}

func BenchmarkPool(b *testing.B) {
	for _, waiting := range []int{10, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			p := &Pool{Parallel: 30, Begins: start.Add(-Lifetime)}
			for i := range waiting {
				p.Ask(start, Ask{ID: fmt.Sprint(i), Owner: core.OwnerName(fmt.Sprint(i % 50)), Deadline: start.Add(time.Hour)})
			}
			ids := make([]string, 0, 30)
			for i := range 30 {
				ids = append(ids, fmt.Sprint(i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint(waiting + i)
				p.Ask(start, Ask{ID: id, Owner: core.OwnerName(fmt.Sprint(i % 50)), Deadline: start.Add(time.Hour)})
				for _, g := range p.Release(start, ids[i%len(ids)], time.Millisecond) {
					ids[i%len(ids)] = g.ID
				}
			}
		})
	}
}

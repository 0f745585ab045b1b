package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// modelStore moves 4 models at once at full speed, in a second each.
func modelStore() *simStore { return &simStore{parallel: 4, speed: float64(core.GiB)} }

// adapterStore moves 30 adapters at once at full speed, in 5 ms each.
func adapterStore() *simStore { return &simStore{parallel: 30, speed: float64(20*core.MiB) / 0.005} }

func report(t *testing.T, name string, w []time.Duration) {
	t.Helper()
	t.Logf("%s: %d loads, p50 %v, p99 %v, max %v", name, len(w), quantile(w, 0.5).Round(time.Millisecond),
		quantile(w, 0.99).Round(time.Millisecond), quantile(w, 1).Round(time.Millisecond))
}

// requestBurst makes n agents request one load each at once. A fifth of the
// loads is interactive.
func requestBurst(p *simulation, n int, size core.Bytes) {
	for i := range n {
		a := Request{Size: size, Owner: core.OwnerName(fmt.Sprint("owner-", i%50))}
		switch {
		case i%5 == 0:
			a.Class, a.Deadline = core.Interactive, start.Add(90*time.Second)
		case i%5 < 3:
			a.Class, a.Deadline = core.Evening, start.Add(6*time.Minute)
		default:
			a.Class, a.Deadline = core.Overnight, start.Add(8*time.Hour)
		}
		p.request(i, a)
	}
}

func inTime(l *simLoad) bool { return !l.ended.After(l.request.Deadline) }

func interactive(l *simLoad) bool { return l.request.Class == core.Interactive }

// A thousand models are requested at once. If all are read at once, each takes
// as long as all together, and interactive requests wait as long as overnight
// ones.
func TestBurstOfLoads(t *testing.T) {
	unlimited := newSimulation(modelStore(), nil)
	requestBurst(unlimited, 1000, core.GiB)
	unlimited.run(20 * time.Minute)
	limited := newSimulation(modelStore(), &Pool{Rate: 4, Parallel: 4})
	requestBurst(limited, 1000, core.GiB)
	limited.run(20 * time.Minute)
	report(t, "all at once", latencies(unlimited.done, all))
	report(t, "slots", latencies(limited.done, all))
	report(t, "all at once, interactive", latencies(unlimited.done, interactive))
	report(t, "slots, interactive", latencies(limited.done, interactive))
	interactiveInTime := func(l *simLoad) bool { return interactive(l) && inTime(l) }
	assert.Equal(t, len(latencies(unlimited.done, interactiveInTime)), 0)
	assert.Equal(t, len(latencies(limited.done, interactiveInTime)), 200)
	assert.Equal(t, limited.store.maxTransfers, 4)
	// Overnight loads are not starved while the others wait.
	overnight := latencies(limited.done, func(l *simLoad) bool { return l.request.Class == core.Overnight })
	assert.Assert(t, overnight[0] < 10*time.Second)
	assert.Equal(t, len(limited.done), 1000)
}

func TestBurstOfAdapters(t *testing.T) {
	unlimited := newSimulation(adapterStore(), nil)
	requestBurst(unlimited, 1000, 20*core.MiB)
	unlimited.run(time.Minute)
	limited := newSimulation(adapterStore(), &Pool{Parallel: 30})
	requestBurst(limited, 1000, 20*core.MiB)
	limited.run(time.Minute)
	report(t, "all at once", latencies(unlimited.done, all))
	report(t, "slots", latencies(limited.done, all))
	assert.Equal(t, limited.store.maxTransfers, 30)
	assert.Assert(t, quantile(latencies(limited.done, all), 0.5) < quantile(latencies(unlimited.done, all), 0.5)*2/3)
	assert.Assert(t, quantile(latencies(limited.done, all), 1) <= quantile(latencies(unlimited.done, all), 1)*11/10)
}

// The store slows to a quarter while loads keep arriving. If transfers share
// the remaining bandwidth, fewer concurrent ones end sooner. If each transfer
// is slow however few there are, fewer concurrent ones only lose throughput.
func TestSlowStore(t *testing.T) {
	for _, shared := range []bool{true, false} {
		t.Run(fmt.Sprintf("shared=%v", shared), func(t *testing.T) {
			s := modelStore()
			s.shared = shared
			p := newSimulation(s, &Pool{Rate: 4, Parallel: 4})
			for i := range 400 {
				p.schedule(time.Duration(i)*800*time.Millisecond, func() {
					p.request(i, Request{Size: core.GiB, Deadline: start.Add(time.Hour)})
				})
			}
			p.run(30 * time.Second)
			assert.Equal(t, p.pool.Limit(p.now), 4)
			p.setSpeed(0.25)
			p.run(30 * time.Second)
			slowFrom, before := p.now, len(p.done)
			p.run(180 * time.Second)
			limit := p.pool.Limit(p.now)
			rate := float64(len(p.done)-before) / 180
			transfers := latencies(p.done, func(l *simLoad) bool { return l.began.After(slowFrom) })
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
			p.setSpeed(1)
			p.run(60 * time.Second)
			assert.Equal(t, p.pool.Limit(p.now), 4)
		})
	}
}

// One owner requests 450 models at once, and ten others two each a little
// later. The ten must not wait until the 450 are loaded.
func TestFewOwnersWithMostLoads(t *testing.T) {
	p := newSimulation(modelStore(), &Pool{Rate: 4, Parallel: 4})
	for i := range 450 {
		p.request(i, Request{Size: core.GiB, Owner: "large", Deadline: start.Add(10 * time.Minute)})
	}
	p.run(time.Second)
	for i := range 20 {
		p.request(450+i, Request{Size: core.GiB, Owner: core.OwnerName(fmt.Sprint("small-", i%10)), Deadline: start.Add(11 * time.Minute)})
	}
	p.run(10 * time.Minute)
	small := latencies(p.done, func(l *simLoad) bool { return l.request.Owner != "large" })
	report(t, "small owners", small)
	report(t, "large owner", latencies(p.done, func(l *simLoad) bool { return l.request.Owner == "large" }))
	assert.Equal(t, len(small), 20)
	assert.Assert(t, small[19] < 15*time.Second)
}

// A host crashes while it reads. Its slot must become free, but only after it
// has not been renewed for a Lifetime.
func TestHolderCrashes(t *testing.T) {
	p := &Pool{Parallel: 1, DeciderSince: start.Add(-Lifetime)}
	far := start.Add(time.Hour)
	assert.Equal(t, len(p.Request(start, Request{ID: "a", Deadline: far})), 1)
	assert.Equal(t, len(p.Request(start, Request{ID: "b", Deadline: far})), 0)
	renewed := start.Add(Lifetime / 2)
	assert.Equal(t, len(p.Request(renewed, Request{ID: "a", Deadline: far, Holding: true})), 1)
	p.Request(renewed, Request{ID: "b", Deadline: far})
	assert.Equal(t, len(p.Tick(start.Add(Lifetime))), 0)
	p.Request(start.Add(Lifetime), Request{ID: "b", Deadline: far})
	g := p.Tick(renewed.Add(Lifetime))
	assert.Equal(t, len(g), 1)
	assert.Equal(t, g[0].ID, "b")
}

// Another entry becomes the decider under load and knows no slot yet. The
// number of transfers in flight must not double.
func TestDeciderChanges(t *testing.T) {
	p := newSimulation(modelStore(), &Pool{Rate: 4, Parallel: 4})
	for i := range 200 {
		p.request(i, Request{Size: 5 * core.GiB, Deadline: start.Add(time.Hour)})
	}
	for range 5 {
		p.run(23 * time.Second)
		p.pool = &Pool{Rate: 4, Parallel: 4, DeciderSince: p.now}
		p.nextTick = time.Time{}
	}
	p.run(20 * time.Minute)
	assert.Equal(t, p.store.maxTransfers, 4)
	assert.Equal(t, len(p.done), 200)
}

// A load for which no request waits any more must get no slot.
func TestPassedDeadlineLeavesQueue(t *testing.T) {
	p := &Pool{Parallel: 1, DeciderSince: start.Add(-Lifetime)}
	p.Request(start, Request{ID: "a", Deadline: start.Add(time.Hour)})
	p.Request(start, Request{ID: "b", Deadline: start.Add(time.Second)})
	assert.Equal(t, len(p.Release(start.Add(2*time.Second), "a", time.Second)), 0)
	assert.Equal(t, p.Waiting(), 0)
}

// The decider is unreachable. All 18 agents request ten models each; with local
// shares they must not overload the store as unlimited loads would. Then a
// single agent requests ten and must not be limited to an eighteenth.
func TestLocalShare(t *testing.T) {
	newFleet := func() *simulation {
		p := newSimulation(modelStore(), nil)
		for i := range 18 {
			l := &Local{Rate: 4, Parallel: 4, Agents: 18, Random: rand.New(rand.NewPCG(uint64(i), 3))}
			l.Observe(core.GiB, time.Second)
			p.locals = append(p.locals, l)
		}
		return p
	}
	limited, unlimited := newFleet(), newSimulation(modelStore(), nil)
	for i := range 180 {
		a := Request{Size: core.GiB, Deadline: start.Add(time.Hour)}
		limited.request(i%18, a)
		unlimited.request(i%18, a)
	}
	limited.run(30 * time.Minute)
	unlimited.run(30 * time.Minute)
	report(t, "all at once", latencies(unlimited.done, all))
	report(t, "local shares", latencies(limited.done, all))
	t.Logf("most in flight: %d at once, %d by shares", unlimited.store.maxTransfers, limited.store.maxTransfers)
	assert.Equal(t, len(limited.done), 180)
	assert.Assert(t, limited.store.maxTransfers <= 18)
	assert.Assert(t, quantile(latencies(limited.done, all), 1) < 2*quantile(latencies(unlimited.done, all), 1))
	assert.Assert(t, quantile(latencies(limited.done, all), 0.5) < quantile(latencies(unlimited.done, all), 0.5))
	single := newFleet()
	for range 10 {
		single.request(3, Request{Size: core.GiB, Deadline: start.Add(time.Hour)})
	}
	single.run(10 * time.Minute)
	report(t, "one agent alone", latencies(single.done, all))
	assert.Equal(t, len(single.done), 10)
	assert.Assert(t, quantile(latencies(single.done, all), 1) < 45*time.Second) // An eighteenth of 4 a second would take 45 s.
}

// All 640 agents lose the decider under high load. maxStartInterval lets too
// many start at first. The transfer times must then slow them down without loss
// of throughput.
func TestLocalShareOfLargeFleet(t *testing.T) {
	limited, unlimited := newSimulation(modelStore(), nil), newSimulation(modelStore(), nil)
	for i := range 640 {
		l := &Local{Rate: 4, Parallel: 4, Agents: 640, Random: rand.New(rand.NewPCG(uint64(i), 3))}
		l.Observe(core.GiB, time.Second)
		limited.locals = append(limited.locals, l)
	}
	for i := range 640 * 3 {
		a := Request{Size: core.GiB, Deadline: start.Add(time.Hour)}
		limited.request(i%640, a)
		unlimited.request(i%640, a)
	}
	limited.run(40 * time.Minute)
	unlimited.run(40 * time.Minute)
	report(t, "640 agents, all at once", latencies(unlimited.done, all))
	report(t, "640 agents, local shares", latencies(limited.done, all))
	assert.Equal(t, len(limited.done), 640*3)
	assert.Assert(t, quantile(latencies(limited.done, all), 0.5) < quantile(latencies(unlimited.done, all), 0.5)*3/4)
	assert.Assert(t, quantile(latencies(limited.done, all), 1) < quantile(latencies(unlimited.done, all), 1)*11/10)
}

// TestWaitQueueAgainstNaive compares the queue with a naive one that scans all
// requests each time, over random requests, renewals with other deadlines, and
// withdrawals.
func TestWaitQueueAgainstNaive(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	var l waitQueue
	naive := make(map[string]Request)
	lastServed := make(map[core.OwnerName]int)
	for step := range 5000 {
		a := Request{
			ID: fmt.Sprint(rng.IntN(200)), Owner: core.OwnerName(fmt.Sprint(rng.IntN(9))),
			Class: core.Evening, Deadline: start.Add(time.Duration(rng.IntN(1000)) * time.Second),
		}
		switch rng.IntN(4) {
		case 0, 1:
			l.add(start, a)
			naive[a.ID] = a
		case 2:
			l.remove(a.ID)
			delete(naive, a.ID)
		case 3:
			if len(naive) == 0 {
				continue
			}
			var want Request
			for _, n := range naive {
				if want.ID == "" || naiveLess(lastServed, n, want) {
					want = n
				}
			}
			delete(naive, want.ID)
			lastServed[want.Owner] = step + 1
			assert.Equal(t, l.pop().ID, want.ID)
		}
		assert.Equal(t, l.len(), len(naive))
	}
}

func naiveLess(lastServed map[core.OwnerName]int, a, b Request) bool {
	if lastServed[a.Owner] != lastServed[b.Owner] {
		return lastServed[a.Owner] < lastServed[b.Owner]
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
			p := &Pool{Parallel: 30, DeciderSince: start.Add(-Lifetime)}
			for i := range waiting {
				p.Request(start, Request{ID: fmt.Sprint(i), Owner: core.OwnerName(fmt.Sprint(i % 50)), Deadline: start.Add(time.Hour)})
			}
			ids := make([]string, 0, 30)
			for i := range 30 {
				ids = append(ids, fmt.Sprint(i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint(waiting + i)
				p.Request(start, Request{ID: id, Owner: core.OwnerName(fmt.Sprint(i % 50)), Deadline: start.Add(time.Hour)})
				for _, g := range p.Release(start, ids[i%len(ids)], time.Millisecond) {
					ids[i%len(ids)] = g.ID
				}
			}
		})
	}
}

package turn_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/credit"
	"radishwell/core/queue"
	"radishwell/core/turn"
)

// The load that is replayed: urgent requests with short prompts and patient ones with long prompts
// come at several entries for the engines of one model. The entries know the engines by reports
// only, which are a tenth of a second apart.
const (
	step           = 5 * ms
	reportInterval = 100 * ms
	loadTime       = 20 * time.Second
)

type loadRequest struct {
	id             core.RequestID
	arrived        time.Time
	rank           int
	customer       core.OwnerName
	own            time.Duration
	target, leaves time.Duration
	late           bool
	asked          int // the engine whose credit it waits for, -1 if none
	askEnds        time.Time
}

// loadEngine reads prompts one after the other.
type loadEngine struct {
	free    time.Time
	account credit.Account
}

type loadEntry struct {
	queue    queue.Queue
	requests map[core.RequestID]*loadRequest
	// seen is the work of each engine as of the last report, sent what this entry has sent since.
	seen, sent []time.Duration
	seenAt     time.Time
	// asking is the most urgent rank that waits for a credit at each engine, as of the last report.
	asking []int
}

// loadRun is one play.
type loadRun struct {
	atOnce  bool // no request waits; those that would be late are refused
	alone   bool // entries go by reports and their own requests, and ask for no credits
	asks    int
	entries []*loadEntry
	engines []*loadEngine
	now     time.Time
	lastID  uint64
	demoted []*loadRequest
	// inTime and all count requests by rank and by customer.
	inTime, all map[string]int
}

func newLoadRun(entries, engines int, atOnce bool) *loadRun {
	r := &loadRun{atOnce: atOnce, now: t0, inTime: map[string]int{}, all: map[string]int{}}
	for range engines {
		r.engines = append(r.engines, &loadEngine{free: t0})
	}
	for range entries {
		e := &loadEntry{requests: map[core.RequestID]*loadRequest{}, seen: make([]time.Duration, engines), sent: make([]time.Duration, engines), seenAt: t0, asking: make([]int, engines)}
		e.queue.Strict = true
		e.queue.CheckHold = func(i queue.Item) queue.Hold {
			q := e.requests[i.ID]
			switch v := r.decide(e, q); {
			case v == turn.HoldLate && i.Class != lateClass:
				r.demoted = append(r.demoted, q)
				return queue.HoldCaller
			case v != turn.Start || q.asked >= 0:
				return queue.HoldRoom
			}
			return queue.Go
		}
		r.entries = append(r.entries, e)
	}
	return r
}

func (e *loadEntry) wait(now time.Time, engine int) time.Duration {
	return max(0, e.seen[engine]-now.Sub(e.seenAt)) + e.sent[engine]
}

// best returns the engine that should answer first, as far as the entry knows.
func (e *loadEntry) best(now time.Time) (best int) {
	for i := range e.seen {
		if e.wait(now, i) < e.wait(now, best) {
			best = i
		}
	}
	return best
}

func (r *loadRun) decide(e *loadEntry, q *loadRequest) turn.Verdict {
	t := turn.Request{Arrived: q.arrived, Leaves: q.arrived.Add(q.leaves), Target: q.target, Own: q.own, Wait: e.wait(r.now, e.best(r.now)) + q.own}
	if q.rank > 0 {
		t.Urgent = 500 * ms
	}
	t.Contended = e.asking[e.best(r.now)] <= q.rank
	v, _ := t.Decide(r.now)
	return v
}

func (r *loadRun) send(e *loadEntry, engine int, q *loadRequest) {
	h := r.engines[engine]
	if h.free.Before(r.now) {
		h.free = r.now
	}
	h.free = h.free.Add(q.own)
	e.sent[engine] += q.own
	delete(e.requests, q.id)
	if h.free.Sub(q.arrived) <= q.target {
		r.inTime[fmt.Sprint("rank-", q.rank)]++
		r.inTime[string(q.customer)]++
	}
}

func (r *loadRun) arrive(e *loadEntry, q *loadRequest) {
	r.lastID++
	q.id, q.arrived, q.asked = core.RequestID(fmt.Sprint(r.lastID)), r.now, -1
	r.all[fmt.Sprint("rank-", q.rank)]++
	r.all[string(q.customer)]++
	if r.atOnce {
		if best := e.best(r.now); e.wait(r.now, best)+q.own <= q.target {
			r.send(e, best, q)
		}
		return
	}
	if e.queue.Len() == 0 && r.decide(e, q) == turn.Start {
		r.send(e, e.best(r.now), q)
		return
	}
	r.push(e, q, false)
}

// lateClass is the class of requests that are late already.
const lateClass = core.PriorityLevels - 1

// push has a request wait: among those that can be in time, or behind them.
func (r *loadRun) push(e *loadEntry, q *loadRequest, late bool) {
	i := queue.Item{ID: q.id, Lane: "m", Owner: q.customer, Class: core.Class(q.rank), Cost: q.own.Milliseconds(), Deadline: q.arrived.Add(q.target)}
	if late {
		i.Class, i.Deadline = lateClass, time.Time{}
	}
	e.requests[q.id], q.late = q, late
	if pushed := e.queue.Push(r.now, i); pushed.Refusal != nil {
		delete(e.requests, q.id)
		if !late {
			r.push(e, q, true)
		}
	}
}

// round gives an entry's requests their turns, and asks the engines' agents for credits.
func (r *loadRun) round(e *loadEntry) {
	for {
		i, ok := e.queue.Pop(r.now, func(string) int { return 1 << 20 })
		for _, x := range e.queue.Expire(r.now) {
			q := e.requests[x.Item.ID]
			delete(e.requests, x.Item.ID)
			if x.Item.Class != lateClass {
				r.push(e, q, true)
			}
		}
		for _, q := range r.demoted {
			if _, waits := e.queue.Remove(q.id); waits {
				r.push(e, q, true)
			}
		}
		r.demoted = r.demoted[:0]
		if !ok {
			break
		}
		r.send(e, e.best(r.now), e.requests[i.ID])
		e.queue.Finish(r.now, i.ID, queue.Served)
	}
	for _, q := range e.requests {
		if !r.now.Before(q.arrived.Add(q.leaves)) {
			e.queue.Remove(q.id)
			delete(e.requests, q.id)
			continue
		}
		if q.asked >= 0 && !r.now.Before(q.askEnds) {
			q.asked = -1
		}
		if q.asked >= 0 || r.alone {
			continue
		}
		r.asks++
		t := turn.Request{Target: q.target, Own: q.own}
		if q.rank > 0 {
			t.Urgent = 500 * ms
		}
		q.asked, q.askEnds = e.best(r.now), r.now.Add(300*ms)
		var id uint64
		if _, err := fmt.Sscan(string(q.id), &id); err != nil {
			panic(err)
		}
		rank := q.rank
		if q.late {
			rank = lateClass
		}
		r.engines[q.asked].account.Put(r.now, credit.Ask{
			ID: id, Rank: rank, Customer: q.customer, Tokens: int(q.own.Milliseconds()) * 38, Reading: q.own, Ahead: t.Ahead(q.late), Until: q.askEnds,
		})
	}
}

func (r *loadRun) grant() {
	for i, h := range r.engines {
		for _, id := range h.account.Grant(r.now) {
			for _, e := range r.entries {
				if q := e.requests[core.RequestID(fmt.Sprint(id))]; q != nil && e.queue.Start(r.now, q.id) {
					r.send(e, i, q)
					e.queue.Finish(r.now, q.id, queue.Served)
				}
			}
		}
	}
}

// play replays arrivals: arrive is called in each step for each entry.
func (r *loadRun) play(arrive func(e int)) {
	for n := 0; r.now.Before(t0.Add(loadTime + 10*time.Second)); n++ {
		r.now = r.now.Add(step)
		if n%int(reportInterval/step) == 0 {
			for _, h := range r.engines {
				h.account.Observe(r.now, max(0, h.free.Sub(r.now)).Milliseconds()*38, 0)
			}
			for _, e := range r.entries {
				e.seenAt = r.now
				for i, h := range r.engines {
					e.seen[i], e.sent[i], e.asking[i] = max(0, h.free.Sub(r.now)), 0, h.account.MostUrgent(r.now)
				}
			}
		}
		if r.now.Before(t0.Add(loadTime)) {
			for i := range r.entries {
				arrive(i)
			}
		}
		if r.atOnce {
			continue
		}
		for _, e := range r.entries {
			r.round(e)
		}
		r.grant()
	}
}

func (r *loadRun) share(of string) float64 { return float64(r.inTime[of]) / float64(max(1, r.all[of])) }

// mixed plays patient and urgent requests at load times what the engines can read.
func mixed(entries, engines int, atOnce bool, load float64) *loadRun {
	return playMixed(newLoadRun(entries, engines, atOnce), load)
}

func playMixed(r *loadRun, load float64) *loadRun {
	entries, engines := len(r.entries), len(r.engines)
	rng := rand.New(rand.NewPCG(1, 2))
	// A pair takes 260 ms of an engine's time.
	pairs := load * float64(engines) * float64(step) / float64(260*ms) / float64(entries)
	r.play(func(i int) {
		if rng.Float64() < pairs {
			r.arrive(r.entries[i], &loadRequest{rank: 0, customer: "c", own: time.Duration(10+rng.IntN(20)) * ms, target: 500 * ms, leaves: 4 * time.Second})
		}
		if rng.Float64() < pairs {
			r.arrive(r.entries[i], &loadRequest{rank: 2, customer: "c", own: time.Duration(80+rng.IntN(320)) * ms, target: 2 * time.Second, leaves: 8 * time.Second})
		}
	})
	return r
}

// Guards against urgent requests that are late or refused while patient ones are served.
func TestUrgentUnderLoad(t *testing.T) {
	for _, entries := range []int{3, 28, 100} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			before, now := mixed(entries, 4, true, 1.2), mixed(entries, 4, false, 1.2)
			t.Logf("in time: urgent %.3f instead of %.3f, patient %.3f instead of %.3f",
				now.share("rank-0"), before.share("rank-0"), now.share("rank-2"), before.share("rank-2"))
			assert.Assert(t, now.share("rank-0") > 0.95)
			assert.Assert(t, now.share("rank-0") > before.share("rank-0")+0.2)
			assert.Assert(t, now.share("rank-2") > before.share("rank-2")-0.15, "not at the expense of all others")
		})
	}
}

// TestEntriesAlone: every entry learns by the same report that an engine has room, and each sends what
// it holds. The more entries there are, the more urgent requests come behind long prompts, unless the
// engines' agents hand out the room.
func TestEntriesAlone(t *testing.T) {
	for _, entries := range []int{28, 100, 400} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			alone := newLoadRun(entries, 4, false)
			alone.alone = true
			playMixed(alone, 1.2)
			credits := mixed(entries, 4, false, 1.2)
			t.Logf("in time: urgent %.3f alone, %.3f with credits; patient %.3f and %.3f; %.2f asks a second an entry",
				alone.share("rank-0"), credits.share("rank-0"), alone.share("rank-2"), credits.share("rank-2"),
				float64(credits.asks)/float64(entries)/loadTime.Seconds())
			assert.Assert(t, credits.share("rank-0") > 0.9)
			assert.Assert(t, credits.share("rank-0") > alone.share("rank-0"))
			assert.Assert(t, credits.share("rank-2") > alone.share("rank-2"))
		})
	}
}

// pressed plays four customers of one rank, of which the first sends times as much as the others,
// at one entry or at all.
func pressed(entries int, times float64, oneEntry bool) *loadRun {
	const engines = 4
	r := newLoadRun(entries, engines, false)
	rng := rand.New(rand.NewPCG(3, 4))
	each := 0.2 * engines * float64(step) / float64(150*ms)
	r.play(func(i int) {
		for c := range 4 {
			rate := each / float64(entries)
			if c == 0 && oneEntry && i > 0 {
				continue
			}
			if c == 0 {
				rate *= times
			}
			if c == 0 && oneEntry {
				rate *= float64(entries)
			}
			for ; rate > 0; rate-- {
				if rng.Float64() < rate {
					r.arrive(r.entries[i], &loadRequest{
						rank: 1, customer: core.OwnerName(fmt.Sprint("c-", c)), own: time.Duration(100+rng.IntN(100)) * ms, target: 2 * time.Second, leaves: 8 * time.Second,
					})
				}
			}
		}
	})
	return r
}

// Guards against a customer that presses and takes the others' shares, from one entry or from all.
func TestPressureOfOneCustomer(t *testing.T) {
	others := func(r *loadRun) float64 { return (r.share("c-1") + r.share("c-2") + r.share("c-3")) / 3 }
	for _, entries := range []int{3, 28, 100} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			usual, spread, one := pressed(entries, 1, false), pressed(entries, 4, false), pressed(entries, 4, true)
			t.Logf("others in time: usual %.3f, pressed from all entries %.3f, from one %.3f; pressing %.3f and %.3f",
				others(usual), others(spread), others(one), spread.share("c-0"), one.share("c-0"))
			assert.Assert(t, others(usual)-others(spread) < 0.02)
			assert.Assert(t, others(usual)-others(one) < 0.02)
		})
	}
}

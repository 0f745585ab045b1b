package retry_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A way to keep the platform's bound. Each entry's budget is made by newEntry, which is called anew for
// each play.
type way struct {
	name     string
	newEntry func() func(now time.Time, name int, b bound) entryBudget
	// newConnections and idle are those of the play.
	newConnections float64
	idle           time.Duration
}

// ownWindow pays retries from the requests of the entry's own last span, and a part of the spare ones
// by the number of entries in the list.
type ownWindow struct {
	bound     bound
	spareFrom time.Time
	spare     float64
	requests  []time.Time
	retries   []time.Time
}

func since(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	return times
}

func (w *ownWindow) recordFirst(now, _ time.Time) { w.requests = append(w.requests, now) }
func (w *ownWindow) settle(time.Time)             {}
func (w *ownWindow) lose(time.Time)               {}

func (w *ownWindow) take(now time.Time) (ok, own bool) {
	w.requests, w.retries = since(w.requests, now.Add(-w.bound.span)), since(w.retries, now.Add(-w.bound.span*5/4))
	spare := w.spare
	if now.Before(w.spareFrom) {
		spare = 0
	}
	if 0.9*w.bound.ratio*float64(len(w.requests))+spare-float64(len(w.retries)) < 1 {
		return false, false
	}
	w.retries = append(w.retries, now)
	return true, true
}

func (w *ownWindow) meet(_ time.Time, listed []int, _ map[int]entryBudget) {
	w.spare = 0.8 * w.bound.spare / float64(len(listed))
}

// bucket earns the ratio with each request and keeps no more than its part of the spare retries, those
// in flight among them.
type bucket struct {
	bound          bound
	part, has, out float64
}

func (b *bucket) recordFirst(_, _ time.Time) {
	b.has = max(b.has, min(b.has+b.bound.ratio, b.part-b.out))
}
func (b *bucket) settle(time.Time) { b.out-- }
func (b *bucket) lose(time.Time)   { b.out-- }

func (b *bucket) take(time.Time) (ok, own bool) {
	if b.has < 1 {
		return false, false
	}
	b.has--
	b.out++
	return true, true
}

func (b *bucket) meet(_ time.Time, listed []int, _ map[int]entryBudget) {
	b.part = b.bound.spare / float64(len(listed))
}

// counter counts for all entries together as the platform does, without delay and without loss: no
// system can do so, and what it makes is what is affordable while sends arrive at once.
type counter struct {
	bound             bound
	requests, retries []int // by step
}

// countStep is the precision of a counter.
const countStep = 50 * time.Millisecond

func (c *counter) step(at time.Time) int { return int(at.Sub(t0) / countStep) }

func (c *counter) recordFirst(_, sent time.Time)              { c.requests[c.step(sent)]++ }
func (c *counter) settle(time.Time)                           {}
func (c *counter) lose(time.Time)                             {}
func (c *counter) meet(time.Time, []int, map[int]entryBudget) {}

func (c *counter) take(now time.Time) (ok, own bool) {
	last, steps := c.step(now), int(c.bound.span/countStep)
	until := make([]int, 3*steps+2) // the requests up to each step from three spans ago on
	for i := range until[1:] {
		until[i+1] = until[i] + c.requests[max(0, last-3*steps+i)]
	}
	in := func(from, to int) int {
		at := func(step int) int { return until[min(max(0, step-last+3*steps), 3*steps+1)] }
		return at(to) - at(from)
	}
	retries := 1
	for from := last; from > last-steps; from-- {
		retries += c.retries[from]
		requests := max(in(from, from+steps), in(from-steps/2, from+steps/2), in(from-steps, from))
		if float64(retries) > c.bound.ratio*float64(requests)+c.bound.spare {
			return false, false
		}
	}
	c.retries[last]++
	return true, true
}

var ways = []way{
	{name: "own windows", newEntry: func() func(time.Time, int, bound) entryBudget {
		return func(now time.Time, _ int, b bound) entryBudget {
			return &ownWindow{bound: b, spareFrom: now.Add(b.span)}
		}
	}},
	{name: "token buckets", newEntry: func() func(time.Time, int, bound) entryBudget {
		return func(_ time.Time, _ int, b bound) entryBudget { return &bucket{bound: b} }
	}},
	{name: "halves", newEntry: func() func(time.Time, int, bound) entryBudget {
		return func(now time.Time, name int, b bound) entryBudget { return alone{newEntryBudget(now, name, b)} }
	}},
	{name: "halves and loans", newEntry: shared},
	{name: "halves and loans, connections used each 2 s", newEntry: shared, idle: 2 * time.Second},
	{name: "halves and loans, half of the requests on new connections", newEntry: shared, newConnections: 0.5, idle: 2 * time.Second},
	{name: "halves and loans, all requests on new connections", newEntry: shared, newConnections: 1},
	{name: "one count of halves", newEntry: func() func(time.Time, int, bound) entryBudget {
		var all entryBudget
		return func(now time.Time, _ int, b bound) entryBudget {
			if all == nil {
				all = newEntryBudget(now, 1, b)
			}
			return sharedBudget{all}
		}
	}},
	{name: "one count", newEntry: func() func(time.Time, int, bound) entryBudget {
		var all *counter
		return func(_ time.Time, _ int, b bound) entryBudget {
			if all == nil {
				all = &counter{bound: b, requests: make([]int, 5000), retries: make([]int, 5000)}
			}
			return all
		}
	}},
}

func shared() func(now time.Time, name int, b bound) entryBudget { return newEntryBudget }

// alone is the budget of an entry that neither borrows nor lends.
type alone struct{ entryBudget }

func (a alone) meet(now time.Time, listed []int, others map[int]entryBudget) {
	rest := map[int]entryBudget{}
	for n, other := range others {
		rest[n] = other.(alone).entryBudget
	}
	a.entryBudget.meet(now, listed, rest)
}

// sharedBudget is one that does not end with the entry's process.
type sharedBudget struct{ entryBudget }

func (s sharedBudget) meet(now time.Time, _ []int, _ map[int]entryBudget) {
	s.entryBudget.meet(now, []int{1}, nil)
}

// trouble makes the requests of a play fail, and its entries restart.
type trouble struct {
	name string
	play func(p *fleetPlay, at time.Time)
}

var troubles = []trouble{
	{"all upstreams fail for 1 s", func(p *fleetPlay, at time.Time) { p.fail(at, at.Add(time.Second), 1) }},
	{"a tenth of sends fails for 20 s", func(p *fleetPlay, at time.Time) { p.fail(at, at.Add(20*time.Second), 0.1) }},
	{"all upstreams fail for 20 s", func(p *fleetPlay, at time.Time) { p.fail(at, at.Add(20*time.Second), 1) }},
	{"those of a third of the entries fail for 3 s", func(p *fleetPlay, at time.Time) {
		p.fail(at, at.Add(3*time.Second), 1)
		p.failsAt = func(e *fleetEntry) bool { return e.name%3 == 0 }
	}},
	{"a tenth fails while all entries restart in turn", func(p *fleetPlay, at time.Time) {
		p.fail(at, at.Add(20*time.Second), 0.1)
		for i, e := range p.entries {
			p.events.Push(at.Add(time.Duration(i)*20*time.Second/time.Duration(len(p.entries))), func(now time.Time) { p.kill(now, e) })
		}
	}},
	{"all fail before and after all entries are killed", func(p *fleetPlay, at time.Time) {
		p.fail(at, at.Add(12*time.Second), 1)
		for _, e := range p.entries {
			p.events.Push(at.Add(2*time.Second), func(now time.Time) { p.kill(now, e) })
		}
	}},
}

func (p *fleetPlay) fail(from, to time.Time, part float64) {
	p.events.Push(from, func(time.Time) { p.failing = part })
	p.events.Push(to, func(time.Time) { p.failing = 0 })
}

// TestWays compares ways to keep the platform's bound: the second attempts that are made of those that
// are wanted, and how many are over the bound.
func TestWays(t *testing.T) {
	t.Parallel()
	for _, machines := range []int{30, 100, 300} {
		b := bound{ratio: 0.2, spare: 50 + float64(machines)/2, span: 10 * time.Second}
		for _, tr := range troubles {
			for _, w := range ways {
				p := newFleetPlay(1, b, w.newEntry())
				p.rng = rand.New(rand.NewPCG(uint64(machines), 3))
				p.rate, p.once = 5.4*float64(machines), true
				p.newConnections, p.idle = w.newConnections, w.idle
				begins := t0.Add(40 * time.Second)
				p.ends = begins.Add(30 * time.Second)
				p.load = 1
				for range machines / 3 {
					p.join(t0)
				}
				p.every(t0, 2*time.Second, p.meet)
				p.arrivals(t0)
				tr.play(p, begins)
				p.play()
				over := p.worst(t0)
				t.Logf("%d machines, %s, %s: %d of %d made, %.0f over the bound", machines, tr.name, w.name, p.made, p.wanted, over)
				if strings.HasPrefix(w.name, "halves") {
					assert.Check(t, over <= 0)
				}
			}
		}
	}
}

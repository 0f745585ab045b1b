package queue_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/core/queue"
)

// t0 is when all plays begin.
var t0 = time.Date(2030, 1, 1, 20, 0, 0, 0, time.UTC)

// line is a waiting line under test: the queue or the naive one.
type line interface {
	push(now time.Time, i queue.Item) (refused []queue.Item)
	pop(now time.Time) (queue.Item, bool)
	finish(now time.Time, id core.RequestID)
	expire(now time.Time) []queue.Item
	next() time.Time
	// place tells the line how many places the upstream has free.
	place(free func() int)
}

// fair is the queue.
type fair struct {
	q    queue.Queue
	free func() int
}

func (f *fair) place(free func() int) { f.free = free }

func (f *fair) push(now time.Time, i queue.Item) []queue.Item {
	p := f.q.Push(now, i)
	out := items(p.Displaced)
	if p.Refusal != nil {
		out = append(out, i)
	}
	return out
}

func (f *fair) pop(now time.Time) (queue.Item, bool) {
	return f.q.Pop(now, func(string) int { return f.free() })
}

func (f *fair) finish(now time.Time, id core.RequestID) { f.q.Finish(now, id, queue.Served) }
func (f *fair) expire(now time.Time) []queue.Item       { return items(f.q.Expire(now)) }
func (f *fair) next() time.Time                         { return f.q.Next() }

func items(list []queue.Refused) []queue.Item {
	var out []queue.Item
	for _, r := range list {
		out = append(out, r.Item)
	}
	return out
}

// naive is one list by arrival without early refusal.
type naive struct{ list []queue.Item }

func (n *naive) push(_ time.Time, i queue.Item) []queue.Item {
	n.list = append(n.list, i)
	return nil
}

func (n *naive) pop(time.Time) (queue.Item, bool) {
	if len(n.list) == 0 {
		return queue.Item{}, false
	}
	i := n.list[0]
	n.list = n.list[1:]
	return i, true
}

func (n *naive) place(func() int) {}

func (n *naive) finish(time.Time, core.RequestID)  {}
func (n *naive) expire(now time.Time) []queue.Item { return nil }
func (n *naive) next() time.Time                   { return time.Time{} }

// arrival is one request of a play.
type arrival struct {
	at time.Time
	queue.Item
}

// load describes a stream of requests with exponential gaps.
type load struct {
	owner, caller string
	class         core.Class
	// perSecond requests come for the time given, each with this cost and
	// patience.
	perSecond float64
	cost      int64
	patience  time.Duration
}

func arrivals(seed uint64, span time.Duration, loads ...load) []arrival {
	var out []arrival
	for n, l := range loads {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		at := t0
		for i := 0; ; i++ {
			at = at.Add(time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second)))
			if at.Sub(t0) > span {
				break
			}
			out = append(out, arrival{at: at, Item: queue.Item{
				ID: core.RequestID(strconv.Itoa(n) + "-" + strconv.Itoa(i)), Lane: "qalam",
				Owner: core.OwnerName(l.owner), Caller: core.CallerName(l.caller), Class: l.class,
				Deadline: at.Add(l.patience), Cost: l.cost, Size: 100,
			}})
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return a.at.Compare(b.at) })
	return out
}

// upstream is slots that each take a time for a unit of cost, spread by up to
// half either way.
type upstream struct {
	slots int
	each  func(at time.Time) time.Duration
}

func steady(d time.Duration) func(time.Time) time.Duration {
	return func(time.Time) time.Duration { return d }
}

// result is what callers got of one kind of request.
type result struct {
	sent, good, late, refused int
	// cost is the work of the good ones; during counts the good ones that ended
	// before the last request came.
	cost   int64
	during int
	// waits are the times from arrival to the whole answer, of good and late.
	waits []time.Duration
	// answer is the longest time from arrival to a refusal, over the patience.
	slowRefusal float64
}

func (r *result) p99() time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

type end struct {
	at time.Time
	queue.Item
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// play runs arrivals through a line and returns what callers got, by kind.
type play struct {
	line    line
	up      upstream
	kind    func(queue.Item) string
	results map[string]*result
	born    map[core.RequestID]time.Time
	running ends
	rng     *rand.Rand
	until   time.Time
}

func byOwner(i queue.Item) string { return string(i.Owner) }

func run(l line, up upstream, in []arrival, kind func(queue.Item) string) map[string]*result {
	p := &play{line: l, up: up, kind: kind, results: make(map[string]*result)}
	p.born = make(map[core.RequestID]time.Time)
	p.rng = rand.New(rand.NewPCG(7, 7))
	p.until = in[len(in)-1].at
	l.place(func() int { return up.slots - len(p.running) })
	for len(in) > 0 || len(p.running) > 0 || !l.next().IsZero() {
		now := p.nextEvent(in)
		if len(in) > 0 && in[0].at.Equal(now) {
			p.arrive(now, in[0])
			in = in[1:]
		}
		for len(p.running) > 0 && p.running[0].at.Equal(now) {
			p.finish(now, heap.Pop(&p.running).(end).Item)
		}
		p.start(now)
		p.refuse(now, l.expire(now))
	}
	return p.results
}

func (p *play) nextEvent(in []arrival) time.Time {
	var now time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (now.IsZero() || t.Before(now)) {
			now = t
		}
	}
	earlier(p.line.next())
	if len(in) > 0 {
		earlier(in[0].at)
	}
	if len(p.running) > 0 {
		earlier(p.running[0].at)
	}
	return now
}

func (p *play) of(i queue.Item) *result {
	k := p.kind(i)
	if p.results[k] == nil {
		p.results[k] = &result{}
	}
	return p.results[k]
}

func (p *play) arrive(now time.Time, a arrival) {
	p.of(a.Item).sent++
	p.born[a.ID] = now
	p.refuse(now, p.line.push(now, a.Item))
}

func (p *play) refuse(now time.Time, list []queue.Item) {
	for _, i := range list {
		r := p.of(i)
		r.refused++
		born := p.born[i.ID]
		r.slowRefusal = max(r.slowRefusal, float64(now.Sub(born))/float64(i.Deadline.Sub(born)))
	}
}

func (p *play) start(now time.Time) {
	for len(p.running) < p.up.slots {
		i, ok := p.line.pop(now)
		if !ok {
			return
		}
		took := float64(p.up.each(now)) * float64(i.Cost) * (0.5 + p.rng.Float64())
		heap.Push(&p.running, end{at: now.Add(time.Duration(took)), Item: i})
	}
}

func (p *play) finish(now time.Time, i queue.Item) {
	p.line.finish(now, i.ID)
	r := p.of(i)
	r.waits = append(r.waits, now.Sub(p.born[i.ID]))
	if now.After(i.Deadline) {
		r.late++
		return
	}
	r.good++
	r.cost += i.Cost
	if !now.After(p.until) {
		r.during++
	}
}

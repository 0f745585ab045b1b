package queue

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// sweepEach is how many owners without work each removal looks at: more than
// the one it can add.
const sweepEach = 2

// settle drops the owner's record once it holds nothing that a fresh one would
// not, so that names that fell silent do not stay in memory. An owner whose tag
// is ahead stays until the class's clock has passed it: without that, sending
// one request at a time would start each of them with a clean record.
func (q *Queue) settle(c core.Class, o *owner) {
	in := q.classes[c]
	if o.items == 0 {
		in.bulk.cut(o.bulk)
		in.rest(o)
	}
	in.sweep()
	if in.items == 0 {
		in.clock.settle()
		clear(in.owners)
		in.rested = nil
	}
	if q.items == 0 {
		q.clock.settle()
	}
}

func (c *class) rest(o *owner) {
	if o.tag <= c.clock.now {
		delete(c.owners, o.name)
		return
	}
	if !o.rested {
		o.rested = true
		c.rested = append(c.rested, o)
	}
}

func (c *class) sweep() {
	for range min(sweepEach, len(c.rested)) {
		o := c.rested[0]
		c.rested = c.rested[1:]
		switch {
		case o.items > 0:
			o.rested = false
		case o.tag <= c.clock.now:
			delete(c.owners, o.name)
		default:
			c.rested = append(c.rested, o)
		}
	}
}

// prune forgets the measures of the idle lanes that were used longest ago, half
// of them at once so that the cost is spread over many new lanes.
func (q *Queue) prune() {
	var idle []*lane
	for _, l := range q.lanes {
		if l.idle() {
			idle = append(idle, l)
		}
	}
	slices.SortFunc(idle, func(a, b *lane) int { return cmp.Compare(a.used, b.used) })
	for _, l := range idle[:(len(idle)+1)/2] {
		delete(q.lanes, l.name)
	}
}

// Depth tells what waits in a lane and how it drains, for explain and metrics.
type Depth struct {
	Items   int
	Cost    int64
	Bytes   core.Bytes
	Running int
	// Ready is when the lane can start work at the earliest.
	Ready time.Time
	// Service is the service time foreseen for cost one, Drain the time in which
	// the lane gets through one unit of cost, both for its short work; zero while
	// unknown.
	Service, Drain time.Duration
}

// Depth returns the state of a lane.
func (q *Queue) Depth(now time.Time, name string) Depth {
	l, ok := q.lanes[name]
	if !ok {
		return Depth{}
	}
	all, short := l.load(), l.tracks[0]
	return Depth{
		Items: all.items, Cost: all.cost, Bytes: all.bytes, Running: l.running(), Ready: l.ready,
		Service: short.pace.service(1), Drain: short.pace.wait(now, 1, short.running),
	}
}

// Foresee returns when an item pushed now would be started and when it would
// end, by present measures.
func (q *Queue) Foresee(now time.Time, i Item) (start, end time.Time) {
	i = tidy(i)
	l, ok := q.lanes[i.Lane]
	if !ok {
		return now, now
	}
	t := l.track(i)
	start = t.start(now, i)
	return start, start.Add(t.pace.service(i.Cost))
}

// Len returns the number of items waiting, Waiting those of a class.
func (q *Queue) Len() int { return q.items }

// Waiting returns the number of items of a class that wait.
func (q *Queue) Waiting(c core.Class) int {
	if q.lanes == nil || c >= core.ClassCount {
		return 0
	}
	return q.classes[c].items
}

// Held returns the memory that the bodies of the waiting items hold.
func (q *Queue) Held() core.Bytes { return q.bytes }

package queue

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// sweepCount is how many idle owners each removal examines. It exceeds the one
// owner that a removal can add, so the list shrinks.
const sweepCount = 2

// releaseOwner deletes the record of an owner that has nothing waiting once the
// record equals a new one, so that names no longer in use do not stay in
// memory. An owner whose tag is ahead of the virtual time of its class is kept
// until the class has caught up. Otherwise an owner that sends one request at a
// time would start each of them without its past charges.
func (q *Queue) releaseOwner(c core.Class, o *ownerState) {
	in := q.classes[c]
	if o.items == 0 {
		in.bySize.remove(o.sizeIndex)
		in.retire(o)
	}
	in.sweepIdle()
	if in.items == 0 {
		in.clock.endBusyPeriod()
		clear(in.owners)
		in.idleAhead = nil
	}
	if q.items == 0 {
		q.clock.endBusyPeriod()
	}
}

func (c *classState) retire(o *ownerState) {
	if o.tag <= c.clock.now {
		delete(c.owners, o.name)
		return
	}
	if !o.listedIdle {
		o.listedIdle = true
		c.idleAhead = append(c.idleAhead, o)
	}
}

func (c *classState) sweepIdle() {
	for range min(sweepCount, len(c.idleAhead)) {
		o := c.idleAhead[0]
		c.idleAhead = c.idleAhead[1:]
		switch {
		case o.items > 0:
			o.listedIdle = false
		case o.tag <= c.clock.now:
			delete(c.owners, o.name)
		default:
			c.idleAhead = append(c.idleAhead, o)
		}
	}
}

// pruneLanes drops the estimates of the idle lanes that were used least
// recently. It drops half of the idle lanes at once so that the cost is spread
// over many new lanes.
func (q *Queue) pruneLanes() {
	var idle []*lane
	for _, l := range q.lanes {
		if l.idle() {
			idle = append(idle, l)
		}
	}
	slices.SortFunc(idle, func(a, b *lane) int { return cmp.Compare(a.lastUsed, b.lastUsed) })
	for _, l := range idle[:(len(idle)+1)/2] {
		delete(q.lanes, l.name)
	}
}

// Depth describes the waiting items of a lane and how fast the lane drains, for
// the explain command and metrics.
type Depth struct {
	Items   int
	Cost    int64
	Bytes   core.Bytes
	Running int
	// Ready is the earliest time at which the lane can start work.
	Ready time.Time
	// ServiceTime is the estimated service time of cost one, and DrainTime is
	// the time in which the lane serves one unit of cost. Both refer to the
	// short items of the lane and are zero while unknown.
	ServiceTime, DrainTime time.Duration
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
		ServiceTime: short.drain.serviceTime(1), DrainTime: short.drain.drainTime(now, 1, short.running),
	}
}

// Estimate returns when an item pushed now is expected to start and to end,
// according to the current estimates.
func (q *Queue) Estimate(now time.Time, i Item) (start, end time.Time) {
	i = q.normalize(i)
	l, ok := q.lanes[i.Lane]
	if !ok {
		return now, now
	}
	t := l.track(i)
	start = t.estimateStart(now, i)
	return start, start.Add(t.drain.serviceTime(i.Cost))
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.items }

// LaneLen returns the number of items that wait in a lane.
func (q *Queue) LaneLen(name string) int {
	l, ok := q.lanes[name]
	if !ok {
		return 0
	}
	return l.load().items
}

// Waiting returns the number of waiting items of a class.
func (q *Queue) Waiting(c core.Class) int {
	if q.lanes == nil || c >= levels {
		return 0
	}
	return q.classes[c].items
}

// WaitingBytes returns the memory held by the bodies of the waiting items.
func (q *Queue) WaitingBytes() core.Bytes { return q.bytes }

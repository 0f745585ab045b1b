package queue

import (
	"time"

	"radishwell/core"
)

// Defaults of the bounds that are zero.
const (
	// DefaultItems holds a burst of 100,000 waiting requests; at about half a
	// kilobyte each the queue itself then takes some 50 MB.
	DefaultItems = 100_000
	// DefaultBytes bounds the bodies that wait with them.
	DefaultBytes = core.GiB
	// mostLanes is how many lanes keep their measures while they are idle. It
	// is above the number of models and adapters of the largest catalogue met.
	mostLanes = 4096
)

// Queue is the waiting requests of one process. The zero value is ready for use.
// It needs no lock of its own; its owner calls it from one goroutine at a time.
type Queue struct {
	// Items and Bytes bound what waits in all; zero means the default.
	Items int
	Bytes core.Bytes
	// LaneItems and LaneBytes bound what waits in one lane; zero means no bound
	// but the overall one.
	LaneItems int
	LaneBytes core.Bytes
	// Shared tells that all lanes start work in the same places, as the models of
	// one engine do. Otherwise each lane has places of its own.
	Shared bool
	// Spare is how many places overnight work leaves free.
	Spare int
	// May, where it is set, is asked before an item is popped.
	May func(Item) Hold

	load
	classes [core.ClassCount]*class
	clock   clock
	lanes   map[string]*lane
	active  []*track
	entries map[core.RequestID]*entry
	running map[core.RequestID]run
	due     order[*entry]
	// out holds refusals that were decided while popping.
	gauge gauge
	out   []Refused
	outAt time.Time
	seq   uint64
}

// run is a popped item that has not finished.
type run struct {
	track   *track
	at      time.Time
	cost    int64
	inDoubt bool
}

// Pushed is what became of a pushed item.
type Pushed struct {
	// Refusal is nil where the item waits now.
	Refusal *core.Refusal
	// Displaced are items that had to make room; each is owed its refusal now.
	Displaced []Refused
}

// Push lets an item wait, or refuses it with outcome not-run: its id is in use
// (internal), its deadline has passed, the wait foreseen is longer than the
// deadline leaves, or the queue is full of what is worth more.
func (q *Queue) Push(now time.Time, i Item) Pushed {
	q.init()
	i = tidy(i)
	if ref := q.checkTimes(now, i); ref != nil {
		return Pushed{Refusal: ref}
	}
	displaced, ref := q.fit(now, i)
	if ref != nil {
		return Pushed{Refusal: ref}
	}
	q.insert(now, i)
	return Pushed{Displaced: displaced}
}

func tidy(i Item) Item {
	i.Cost = min(max(1, i.Cost), mostCost)
	i.Size = max(0, i.Size)
	if i.Class >= core.ClassCount {
		i.Class = core.Overnight
	}
	return i
}

// checkTimes refuses what cannot end in time.
func (q *Queue) checkTimes(now time.Time, i Item) *core.Refusal {
	if _, ok := q.entries[i.ID]; ok {
		return core.Refuse(core.CodeInternal, "The request is waiting already.")
	}
	if i.Deadline.IsZero() {
		return nil
	}
	if !i.Deadline.After(now) {
		return core.Refuse(core.CodeDeadline, "The deadline passed before the request could wait.")
	}
	l, ok := q.lanes[i.Lane]
	if !ok {
		return nil
	}
	t := l.track(i)
	end := t.start(now, i)
	if !t.idle() || !t.pace.doubted(now) {
		end = end.Add(t.pace.service(i.Cost))
	}
	if !end.After(i.Deadline) {
		return nil
	}
	return tooLong(now, t, end.Sub(i.Deadline))
}

// tooLong says when the backlog has shrunk enough for a request that is as
// patient as this one.
func tooLong(now time.Time, t *track, late time.Duration) *core.Refusal {
	if t.idle() {
		// The service time alone is too long: nothing drains. The lane lets one
		// request measure it anew after the doubt.
		late = max(late, doubt)
	}
	return core.RefuseUntil(core.CodeWaitTooLong,
		"The work waiting for "+t.lane.name+" would not leave time before the deadline.", now.Add(late))
}

// Pop returns the item that goes next among the lanes that are free; free tells
// how many more requests a lane could start now. The item counts as started.
// Items whose time has run out on the way are kept for Expire.
func (q *Queue) Pop(now time.Time, free func(lane string) int) (Item, bool) {
	q.init()
	return q.pop(now, &q.active, free)
}

// PopLane is Pop for one lane, which could start free more requests.
func (q *Queue) PopLane(now time.Time, name string, free int) (Item, bool) {
	q.init()
	l, ok := q.lanes[name]
	if !ok {
		return Item{}, false
	}
	list := l.tracks[:]
	return q.pop(now, &list, func(string) int { return free })
}

// pop takes the list of tracks by reference: it changes as items are refused.
func (q *Queue) pop(now time.Time, list *[]*track, free func(lane string) int) (Item, bool) {
	q.overdue(now)
	for {
		e := q.next(now, *list, free)
		if e == nil {
			return Item{}, false
		}
		// Running what cannot end in time any more would spend the upstream on an
		// answer that comes too late, which is how goodput falls under overload.
		if e.lastStart(e.flow.in.in.track).Before(now) {
			q.refuse(now, e)
			continue
		}
		q.begin(now, e)
		return e.Item, true
	}
}

// begin moves an entry from waiting to running.
func (q *Queue) begin(now time.Time, e *entry) {
	t := e.flow.in.in.track
	if t.lane.gauge.idle() {
		t.pace.restart(now)
	}
	q.charge(e)
	q.drop(e)
	t.run(1)
	q.running[e.ID] = run{track: t, at: now, cost: e.Cost, inDoubt: e.inDoubt}
}

// charge advances the virtual times of the item's class, owner and caller.
func (q *Queue) charge(e *entry) {
	f := e.flow
	c := q.classes[e.Class]
	o := f.in.owner
	c.tag = q.clock.serve(c.tag, e.Cost*unit/Weights[e.Class])
	o.tag = c.clock.serve(o.tag, e.Cost)
	f.caller.tag = o.clock.serve(f.caller.tag, e.Cost)
}

// Finish ends a popped item's run. Only Served is a measure of how fast the lane
// is: without that, one load of 20 s would let the lane seem a hundred times
// slower for the next dozen requests, and callers would be refused for it. An id
// that is not running is ignored.
func (q *Queue) Finish(now time.Time, id core.RequestID, end End) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	t := r.track
	t.run(-1)
	switch end {
	case Served:
		t.pace.served(now, now.Sub(r.at), r.cost, r.inDoubt)
		t.pace.drained(now, r.cost)
	case ServedCold:
		t.pace.restart(now)
	}
}

// End tells how a run ended.
type End uint8

// Ends of runs.
const (
	// Served is a whole answer by an upstream that was ready.
	Served End = iota
	// ServedCold is a whole answer that waited for a load.
	ServedCold
	// Failed is any other end, a cancel included.
	Failed
)

// Ready tells when the lane can start work, as when a load should end. A past or
// zero time means at once.
func (q *Queue) Ready(now time.Time, name string, at time.Time) {
	q.init()
	l := q.lane(name)
	l.ready = at
	for _, t := range l.tracks {
		if t.items > 0 {
			t.pace.backlog(now, at)
		}
	}
}

// Remove takes out a waiting item whose caller went away.
func (q *Queue) Remove(id core.RequestID) (Item, bool) {
	e, ok := q.entries[id]
	if !ok {
		return Item{}, false
	}
	q.drop(e)
	return e.Item, true
}

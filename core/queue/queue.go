package queue

import (
	"time"

	"radishwell/core"
)

// Defaults for bounds that are zero.
const (
	// DefaultItems admits a burst of 100,000 waiting requests. At about half a
	// kilobyte each, the queue itself then takes some 50 MB.
	DefaultItems = 100_000
	// DefaultBytes bounds the bodies of the waiting requests.
	DefaultBytes = core.GiB
	// maxLanes is how many lanes are kept before estimates of idle ones are
	// dropped. It is above the number of models and adapters of the largest
	// known catalogue.
	maxLanes = 4096
)

// Queue holds the waiting requests of one process. The zero value is ready for
// use. It is not safe for concurrent use.
type Queue struct {
	// Items bounds the number of waiting items and Bytes their total size; zero
	// means the default.
	Items int
	Bytes core.Bytes
	// LaneItems and LaneBytes are the same bounds for each lane; zero means no
	// bound per lane.
	LaneItems int
	LaneBytes core.Bytes
	// Shared is set if all lanes start work in the same slots, as the models of
	// one engine do. Otherwise each lane has its own slots.
	Shared bool
	// Spare is how many slots overnight work leaves free.
	Spare int
	// Strict is set if no item starts while a more urgent one may. Otherwise the classes
	// share by Weights.
	Strict bool
	// CheckHold, if not nil, is called before an item is popped and returns how
	// far a limit holds it back.
	CheckHold func(Item) Hold

	load
	classes [levels]*classState
	clock   virtualClock
	lanes   map[string]*lane
	active  []*track
	entries map[core.RequestID]*entry
	running map[core.RequestID]run
	byStart indexedHeap[*entry]
	sizes   sizeClassifier
	// expired holds the items that can no longer finish in time, until the next
	// call of Expire; expiredAt is the time of the first of them.
	expired   []Refused
	expiredAt time.Time
	seq       uint64
}

// run is a popped item that has not finished.
type run struct {
	track   *track
	started time.Time
	cost    int64
	probe   bool
}

// PushResult is the result of Push.
type PushResult struct {
	// Refusal is nil if the item was queued.
	Refusal *core.Refusal
	// Displaced lists the items that were removed to make room. The caller of
	// Push has to send each of them its refusal.
	Displaced []Refused
}

// Push queues an item, or refuses it with outcome not-run if its ID is in use
// (internal), its deadline has passed, the expected wait is too long for its
// deadline, or the queue is full of items that are worth at least as much.
func (q *Queue) Push(now time.Time, i Item) PushResult {
	q.init()
	i = q.normalize(i)
	if ref := q.checkDeadline(now, i); ref != nil {
		return PushResult{Refusal: ref}
	}
	displaced, ref := q.makeRoom(now, i)
	if ref != nil {
		return PushResult{Refusal: ref}
	}
	q.insert(now, i)
	return PushResult{Displaced: displaced}
}

func (q *Queue) normalize(i Item) Item {
	i.Cost = min(max(1, i.Cost), maxCost)
	i.Size = max(0, i.Size)
	last := core.Overnight
	if q.Strict {
		last = levels - 1
	}
	i.Class = min(i.Class, last)
	return i
}

// checkDeadline refuses an item whose ID is in use or that cannot finish in
// time.
func (q *Queue) checkDeadline(now time.Time, i Item) *core.Refusal {
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
	end := t.estimateStart(now, i)
	if !t.idle() || !t.drain.stale(now) {
		end = end.Add(t.drain.serviceTime(i.Cost))
	}
	if !end.After(i.Deadline) {
		return nil
	}
	return waitRefusal(now, t, end.Sub(i.Deadline))
}

// waitRefusal returns a refusal whose retry time is when the backlog should
// have shrunk enough for a request with as much time left as this one.
func waitRefusal(now time.Time, t *track, late time.Duration) *core.Refusal {
	if t.idle() {
		// The service time alone is too long, so nothing drains. Once the
		// estimate is stale, the lane admits one request to measure it again.
		late = max(late, staleAfter)
	}
	return core.RefuseUntil(core.CodeWaitTooLong,
		"The work waiting for "+t.lane.name+" would not leave time before the deadline.", now.Add(late))
}

// Pop returns the item to start next among the lanes with free slots; free
// returns how many more requests a lane could start now. The item counts as
// started. Items that can no longer finish in time are kept for Expire.
func (q *Queue) Pop(now time.Time, free func(lane string) int) (Item, bool) {
	q.init()
	return q.pop(now, &q.active, free)
}

// PopLane is Pop for a single lane, which could start free more requests.
func (q *Queue) PopLane(now time.Time, name string, free int) (Item, bool) {
	q.init()
	l, ok := q.lanes[name]
	if !ok {
		return Item{}, false
	}
	list := l.tracks[:]
	return q.pop(now, &list, func(string) int { return free })
}

// pop takes a pointer to the list of tracks because the list changes as items
// are refused.
func (q *Queue) pop(now time.Time, list *[]*track, free func(lane string) int) (Item, bool) {
	q.expireDue(now)
	for {
		e := q.nextEntry(now, *list, free)
		if e == nil {
			return Item{}, false
		}
		// Starting an item that cannot finish in time would spend the upstream
		// on an answer that comes too late and reduce goodput under overload.
		if e.latestStart(e.queue.parent.parent.track).Before(now) {
			q.refuse(now, e)
			continue
		}
		q.startRun(now, e)
		return e.Item, true
	}
}

// Start counts a waiting item as started, out of its turn. It reports whether the item was
// waiting.
func (q *Queue) Start(now time.Time, id core.RequestID) bool {
	e, ok := q.entries[id]
	if ok {
		q.startRun(now, e)
	}
	return ok
}

// startRun moves an entry from waiting to running.
func (q *Queue) startRun(now time.Time, e *entry) {
	t := e.queue.parent.parent.track
	if t.lane.sizes.idle() && !t.drain.lacksRoom {
		t.drain.restartInterval(now)
	}
	t.drain.lacksRoom = false
	q.charge(e)
	q.removeEntry(e)
	t.addRunning(1)
	q.running[e.ID] = run{track: t, started: now, cost: e.Cost, probe: e.probe}
}

// charge advances the virtual times of the item's class, owner and caller.
func (q *Queue) charge(e *entry) {
	f := e.queue
	c := q.classes[e.Class]
	o := f.parent.owner
	if !q.Strict {
		c.tag = q.clock.advance(c.tag, e.Cost*virtualUnit/Weights[e.Class])
	}
	o.tag = c.clock.advance(o.tag, e.Cost)
	f.caller.tag = o.clock.advance(f.caller.tag, e.Cost)
}

// Finish records the end of a popped item's run. Only runs that end as Served
// update the estimates. Otherwise a load of 20 s would make the lane seem a
// hundred times slower for the next dozen requests, and callers would be
// refused for it. An ID that is not running is ignored.
func (q *Queue) Finish(now time.Time, id core.RequestID, end End) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	t := r.track
	t.addRunning(-1)
	switch end {
	case Served:
		t.drain.recordService(now, now.Sub(r.started), r.cost, r.probe)
		t.drain.recordFinish(now, r.cost)
	case ServedCold:
		t.drain.restartInterval(now)
	}
}

// End says how a run ended.
type End uint8

// The values of End.
const (
	// Served is a complete answer by an upstream that was ready.
	Served End = iota
	// ServedCold is a complete answer that waited for a load.
	ServedCold
	// Failed is any other end, including a cancelled run.
	Failed
)

// SetReady sets when the lane can start work, such as the expected end of a
// load. A past or zero time means now.
func (q *Queue) SetReady(now time.Time, name string, at time.Time) {
	q.init()
	l := q.laneFor(name)
	l.ready = at
	for _, t := range l.tracks {
		if t.items > 0 {
			t.drain.beginBacklog(now, at)
		}
	}
}

// Remove removes a waiting item, such as one whose caller disconnected. It
// reports whether the item was waiting.
func (q *Queue) Remove(id core.RequestID) (Item, bool) {
	e, ok := q.entries[id]
	if !ok {
		return Item{}, false
	}
	q.removeEntry(e)
	return e.Item, true
}

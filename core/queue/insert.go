package queue

import (
	"slices"
	"time"

	"radishwell/core"
)

func (q *Queue) init() {
	if q.lanes != nil {
		return
	}
	q.lanes = make(map[string]*lane)
	q.entries = make(map[core.RequestID]*entry)
	q.running = make(map[core.RequestID]run)
	for c := range q.classes {
		q.classes[c] = newClassState()
	}
	q.byStart.less = func(a, b *entry) bool {
		if !a.startBy.Equal(b.startBy) {
			return a.startBy.Before(b.startBy)
		}
		return a.seq < b.seq
	}
	q.byStart.setIndex = func(e *entry, index int) { e.startByIndex = int32(index) }
}

// laneFor returns the lane of the given name and creates it if necessary.
func (q *Queue) laneFor(name string) *lane {
	l, ok := q.lanes[name]
	if !ok {
		if len(q.lanes) >= maxLanes {
			q.pruneLanes()
		}
		g := &q.sizes
		if !q.Shared {
			g = &sizeClassifier{}
		}
		l = newLane(name, g, q.Strict)
		q.lanes[name] = l
	}
	return l
}

// insert adds an item that has passed all checks.
func (q *Queue) insert(now time.Time, i Item) {
	l := q.laneFor(i.Lane)
	t := l.track(i)
	l.sizes.observe(now, i, t.long)
	l.lastUsed = q.seq
	e := &entry{Item: i, seq: q.seq}
	q.seq++
	e.probe = t.idle() && t.drain.serviceMean > 0 && t.drain.stale(now)
	e.startBy = e.latestStart(t)
	q.activate(now, t)
	f := q.callerQueue(t, i)
	e.queue = f
	f.entries.insert(e)
	q.byStart.insert(e)
	q.entries[i.ID] = e
	q.addLoad(f, i, 1)
}

func (q *Queue) activate(now time.Time, t *track) {
	if t.items > 0 {
		return
	}
	t.activeIndex = len(q.active)
	q.active = append(q.active, t)
	t.drain.beginBacklog(now, t.lane.ready)
}

// callerQueue returns the queue of the item's caller in the track. It creates
// the queue and the levels above it if necessary.
func (q *Queue) callerQueue(t *track, i Item) *callerQueue {
	o := q.ownerState(i)
	c, ok := o.callers[i.Caller]
	if !ok {
		c = &callerState{name: i.Caller, tag: o.clock.now}
		o.callers[i.Caller] = c
	}
	s := t.class(i.Class)
	p, ok := s.owners[i.Owner]
	if !ok {
		p = newOwnerQueue(s, o)
		s.owners[i.Owner] = p
		s.byTag.insert(p)
	}
	f, ok := p.callers[i.Caller]
	if !ok {
		f = newCallerQueue(p, c)
		p.callers[i.Caller] = f
		p.byTag.insert(f)
		c.queues = append(c.queues, f)
	}
	return f
}

func (q *Queue) ownerState(i Item) *ownerState {
	c := q.classes[i.Class]
	o, ok := c.owners[i.Owner]
	if !ok {
		o = &ownerState{
			name:      i.Owner,
			tag:       c.clock.now,
			callers:   make(map[core.CallerName]*callerState),
			sizeIndex: -1,
		}
		c.owners[i.Owner] = o
	}
	if o.items == 0 {
		c.bySize.insert(o)
	}
	return o
}

// addLoad adds the item to the load of every level (sign 1) or subtracts it
// (sign -1).
func (q *Queue) addLoad(f *callerQueue, i Item, sign int) {
	p := f.parent
	c := q.classes[i.Class]
	for _, level := range []*load{
		&q.load, &c.load, &p.owner.load, &f.caller.load,
		&p.parent.track.load, &p.parent.load, &p.load, &f.load,
	} {
		level.add(i, sign)
	}
	c.bySize.fix(p.owner.sizeIndex)
}

// removeEntry removes a waiting entry from every level.
func (q *Queue) removeEntry(e *entry) {
	f := e.queue
	delete(q.entries, e.ID)
	q.byStart.remove(int(e.startByIndex))
	f.entries.remove(int(e.queueIndex))
	q.addLoad(f, e.Item, -1)
	if f.entries.Len() == 0 {
		q.removeCallerQueue(f)
	}
	if t := f.parent.parent.track; t.items == 0 {
		q.deactivate(t)
		t.drain.endBacklog()
	}
	q.releaseOwner(e.Class, f.parent.owner)
}

func (q *Queue) removeCallerQueue(f *callerQueue) {
	p := f.parent
	p.byTag.remove(f.index)
	delete(p.callers, f.caller.name)
	at := slices.Index(f.caller.queues, f)
	f.caller.queues = slices.Delete(f.caller.queues, at, at+1)
	if len(p.callers) > 0 {
		return
	}
	p.parent.byTag.remove(p.index)
	delete(p.parent.owners, p.owner.name)
}

func (q *Queue) deactivate(t *track) {
	last := len(q.active) - 1
	moved := q.active[last]
	q.active[t.activeIndex] = moved
	moved.activeIndex = t.activeIndex
	q.active[last] = nil
	q.active = q.active[:last]
	t.activeIndex = -1
}

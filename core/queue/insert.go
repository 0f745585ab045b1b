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
		q.classes[c] = newClass()
	}
	q.due.before = func(a, b *entry) bool {
		if !a.last.Equal(b.last) {
			return a.last.Before(b.last)
		}
		return a.seq < b.seq
	}
	q.due.moved = func(e *entry, place int) { e.due = int32(place) }
}

// lane returns the lane of a name, a new one where there is none.
func (q *Queue) lane(name string) *lane {
	l, ok := q.lanes[name]
	if !ok {
		if len(q.lanes) >= mostLanes {
			q.prune()
		}
		g := &q.gauge
		if !q.Shared {
			g = &gauge{}
		}
		l = newLane(name, g)
		q.lanes[name] = l
	}
	return l
}

// insert makes an item wait. All checks are behind it.
func (q *Queue) insert(now time.Time, i Item) {
	l := q.lane(i.Lane)
	t := l.track(i)
	l.gauge.note(now, i, t.long)
	l.used = q.seq
	e := &entry{Item: i, seq: q.seq}
	q.seq++
	e.inDoubt = t.idle() && t.pace.mean > 0 && t.pace.doubted(now)
	e.last = e.lastStart(t)
	q.activate(now, t)
	f := q.flowOf(t, i)
	e.flow = f
	f.items.add(e)
	q.due.add(e)
	q.entries[i.ID] = e
	q.count(f, i, 1)
}

func (q *Queue) activate(now time.Time, t *track) {
	if t.items > 0 {
		return
	}
	t.place = len(q.active)
	q.active = append(q.active, t)
	t.pace.backlog(now, t.lane.ready)
}

// flowOf returns the flow of the item's caller in the track, with the levels
// above it, all made where they are missing.
func (q *Queue) flowOf(t *track, i Item) *flow {
	o := q.ownerOf(i)
	c, ok := o.callers[i.Caller]
	if !ok {
		c = &caller{name: i.Caller, tag: o.clock.now}
		o.callers[i.Caller] = c
	}
	s := t.sections[i.Class]
	p, ok := s.parties[i.Owner]
	if !ok {
		p = newParty(s, o)
		s.parties[i.Owner] = p
		s.turns.add(p)
	}
	f, ok := p.flows[i.Caller]
	if !ok {
		f = newFlow(p, c)
		p.flows[i.Caller] = f
		p.turns.add(f)
		c.flows = append(c.flows, f)
	}
	return f
}

func (q *Queue) ownerOf(i Item) *owner {
	c := q.classes[i.Class]
	o, ok := c.owners[i.Owner]
	if !ok {
		o = &owner{
			name:    i.Owner,
			tag:     c.clock.now,
			callers: make(map[core.CallerName]*caller),
			bulk:    -1,
		}
		c.owners[i.Owner] = o
	}
	if o.items == 0 {
		c.bulk.add(o)
	}
	return o
}

// count adds the item to (sign 1) or takes it from (sign -1) every level.
func (q *Queue) count(f *flow, i Item, sign int) {
	p := f.in
	c := q.classes[i.Class]
	for _, level := range []*load{
		&q.load, &c.load, &p.owner.load, &f.caller.load,
		&p.in.track.load, &p.in.load, &p.load, &f.load,
	} {
		level.add(i, sign)
	}
	c.bulk.fix(p.owner.bulk)
}

// drop takes a waiting entry out of every level.
func (q *Queue) drop(e *entry) {
	f := e.flow
	delete(q.entries, e.ID)
	q.due.cut(int(e.due))
	f.items.cut(int(e.turn))
	q.count(f, e.Item, -1)
	if f.items.Len() == 0 {
		q.cutFlow(f)
	}
	if t := f.in.in.track; t.items == 0 {
		q.deactivate(t)
		t.pace.empty()
	}
	q.settle(e.Class, f.in.owner)
}

func (q *Queue) cutFlow(f *flow) {
	p := f.in
	p.turns.cut(f.place)
	delete(p.flows, f.caller.name)
	at := slices.Index(f.caller.flows, f)
	f.caller.flows = slices.Delete(f.caller.flows, at, at+1)
	if len(p.flows) > 0 {
		return
	}
	p.in.turns.cut(p.place)
	delete(p.in.parties, p.owner.name)
}

func (q *Queue) deactivate(t *track) {
	last := len(q.active) - 1
	moved := q.active[last]
	q.active[t.place] = moved
	moved.place = t.place
	q.active[last] = nil
	q.active = q.active[:last]
	t.place = -1
}

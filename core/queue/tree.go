package queue

import (
	"radishwell/core"
)

// clock is one level's virtual time: the start tag of what it served last.
// A name that comes back, or whose lane was blocked, starts from here: it gets
// its share from now on and no credit for the time it had nothing to run.
type clock struct {
	now int64
	// most is the largest finish tag given out.
	most int64
}

func (c *clock) start(tag int64) int64 { return max(tag, c.now) }

// serve charges a name whose tag is given and returns its new tag.
func (c *clock) serve(tag, charge int64) int64 {
	c.now = c.start(tag)
	end := c.now + charge
	c.most = max(c.most, end)
	return end
}

// settle ends a busy period: with nothing waiting, nobody is behind.
func (c *clock) settle() { c.now = c.most }

// load counts what waits.
type load struct {
	items int
	cost  int64
	bytes core.Bytes
}

func (l *load) add(i Item, sign int) {
	l.items += sign
	l.cost += int64(sign) * i.Cost
	l.bytes += core.Bytes(sign) * i.Size
}

// class is one service class over all lanes.
type class struct {
	load
	tag    int64
	clock  clock
	owners map[core.OwnerName]*owner
	// bulk orders the owners with waiting items, the one with most first.
	bulk order[*owner]
	// rested lists owners with nothing waiting whose tag is still ahead.
	rested []*owner
}

// owner is one owner inside a class, over all lanes.
type owner struct {
	load
	name    core.OwnerName
	tag     int64
	clock   clock
	callers map[core.CallerName]*caller
	// bulk is the owner's place in class.bulk; rested tells that class.rested
	// lists it.
	bulk   int
	rested bool
}

// caller is one caller inside an owner, over all lanes.
type caller struct {
	load
	name core.CallerName
	tag  int64
	// flows are the caller's non-empty flows, by track in the order they came.
	flows []*flow
}

// flow is what one caller has waiting in one track, the earliest deadline first.
type flow struct {
	in     *party
	caller *caller
	items  order[*entry]
	load
	// tag is the caller's tag as last seen by the track's heap; place is there.
	tag   int64
	place int
}

// party is one owner's callers in one track.
type party struct {
	in    *section
	owner *owner
	flows map[core.CallerName]*flow
	turns order[*flow]
	load
	tag   int64
	place int
}

// section is one class in one track.
type section struct {
	track   *track
	class   core.Class
	parties map[core.OwnerName]*party
	turns   order[*party]
	load
}

func newClass() *class {
	c := &class{owners: make(map[core.OwnerName]*owner)}
	c.bulk.before = func(a, b *owner) bool {
		if a.items != b.items {
			return a.items > b.items
		}
		return a.name < b.name
	}
	c.bulk.moved = func(o *owner, place int) { o.bulk = place }
	return c
}

func newSection(t *track, c core.Class) *section {
	s := &section{track: t, class: c, parties: make(map[core.OwnerName]*party)}
	s.turns.before = func(a, b *party) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.owner.name < b.owner.name
	}
	s.turns.moved = func(p *party, place int) { p.place = place }
	return s
}

func newParty(s *section, o *owner) *party {
	p := &party{in: s, owner: o, flows: make(map[core.CallerName]*flow), tag: o.tag}
	p.turns.before = func(a, b *flow) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.caller.name < b.caller.name
	}
	p.turns.moved = func(f *flow, place int) { f.place = place }
	return p
}

func newFlow(p *party, c *caller) *flow {
	f := &flow{in: p, caller: c, tag: c.tag}
	f.items.before = (*entry).beats
	f.items.moved = func(e *entry, place int) { e.turn = int32(place) }
	return f
}

// first returns the party whose owner is furthest behind. The heap may hold an
// older tag where the owner was served through another track. Tags only grow, so
// an element at the top whose tag is up to date is the least.
func (s *section) first() *party {
	for {
		p := s.turns.top()
		if p.tag == p.owner.tag {
			return p
		}
		p.tag = p.owner.tag
		s.turns.fix(p.place)
	}
}

// first returns the flow whose caller is furthest behind, as section.first does.
func (p *party) first() *flow {
	for {
		f := p.turns.top()
		if f.tag == f.caller.tag {
			return f
		}
		f.tag = f.caller.tag
		p.turns.fix(f.place)
	}
}

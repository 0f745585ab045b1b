package queue

import (
	"time"

	"radishwell/core"
)

// scope is the part of the queue that a bound is kept for.
type scope interface {
	// class returns what waits of a class.
	class(c core.Class) load
	// largest returns the owner in a class with most waiting, and how much.
	largest(c core.Class) (core.OwnerName, int)
	// held returns how much of a class an owner has waiting.
	held(c core.Class, o core.OwnerName) int
	// last returns an entry of an owner in a class, of the caller with most
	// waiting and with a late deadline among that caller's.
	last(c core.Class, o core.OwnerName) *entry
}

// sheds reports whether room can be made for an item by giving up what is worth
// less: work of less urgent classes, the least urgent first, or one item of an
// owner in the same class who has at least two more waiting than the item's
// owner. The second rule answers an owner who fills the queue: without it all
// others are turned away until that owner's backlog is through.
func sheds(i Item, over load, in scope) bool {
	if over.items == 0 && over.bytes == 0 || enoughBelow(i.Class, over, in) {
		return true
	}
	name, most := in.largest(i.Class)
	if over.items > 1 || most < in.held(i.Class, i.Owner)+2 {
		return false
	}
	return in.last(i.Class, name).Size >= over.bytes
}

// shed makes the room that sheds has found.
func (q *Queue) shed(now time.Time, i Item, over load, in scope) []Refused {
	if over.items == 0 && over.bytes == 0 {
		return nil
	}
	if enoughBelow(i.Class, over, in) {
		return q.shedBelow(now, i.Class, over, in)
	}
	name, _ := in.largest(i.Class)
	return []Refused{q.displace(now, in.last(i.Class, name))}
}

func enoughBelow(c core.Class, over load, in scope) bool {
	var below load
	for lower := c + 1; lower < core.ClassCount; lower++ {
		l := in.class(lower)
		below.items += l.items
		below.bytes += l.bytes
	}
	return below.items >= over.items && below.bytes >= over.bytes
}

func (q *Queue) shedBelow(now time.Time, c core.Class, over load, in scope) []Refused {
	var gone []Refused
	lower := core.ClassCount - 1
	for lower > c && (over.items > 0 || over.bytes > 0) {
		name, most := in.largest(lower)
		if most == 0 {
			lower--
			continue
		}
		r := q.displace(now, in.last(lower, name))
		over.items--
		over.bytes -= r.Item.Size
		gone = append(gone, r)
	}
	return gone
}

func (q *Queue) displace(now time.Time, e *entry) Refused {
	t := e.flow.in.in.track
	q.drop(e)
	return Refused{Item: e.Item, Refusal: full(now, t, e.Item, core.CodeOverload,
		"The queue is full and made room for more urgent work.")}
}

// wholeScope is the whole queue.
type wholeScope struct{ q *Queue }

func (w wholeScope) class(c core.Class) load { return w.q.classes[c].load }

func (w wholeScope) largest(c core.Class) (core.OwnerName, int) {
	bulk := &w.q.classes[c].bulk
	if bulk.Len() == 0 {
		return "", 0
	}
	return bulk.top().name, bulk.top().items
}

func (w wholeScope) held(c core.Class, o core.OwnerName) int {
	if found, ok := w.q.classes[c].owners[o]; ok {
		return found.items
	}
	return 0
}

func (w wholeScope) last(c core.Class, o core.OwnerName) *entry {
	var most *caller
	for _, candidate := range w.q.classes[c].owners[o].callers {
		if candidate.items > 0 && (most == nil || candidate.outweighs(most)) {
			most = candidate
		}
	}
	var longest *flow
	for _, f := range most.flows {
		if longest == nil || f.items.Len() > longest.items.Len() {
			longest = f
		}
	}
	return longest.late()
}

func (c *caller) outweighs(o *caller) bool {
	if c.items != o.items {
		return c.items > o.items
	}
	return c.name < o.name
}

// late returns an entry from the bottom of the heap, where late deadlines are.
func (f *flow) late() *entry { return f.items.list[f.items.Len()-1] }

// laneScope is one lane.
type laneScope struct{ l *lane }

func (s laneScope) class(c core.Class) load {
	sum := s.l.tracks[0].sections[c].load
	long := s.l.tracks[1].sections[c].load
	sum.items += long.items
	sum.bytes += long.bytes
	return sum
}

func (s laneScope) largest(c core.Class) (core.OwnerName, int) {
	var name core.OwnerName
	most := 0
	for _, t := range s.l.tracks {
		for _, p := range t.sections[c].turns.list {
			held := s.held(c, p.owner.name)
			if held > most || held == most && p.owner.name < name {
				name, most = p.owner.name, held
			}
		}
	}
	return name, most
}

func (s laneScope) held(c core.Class, o core.OwnerName) int {
	held := 0
	for _, t := range s.l.tracks {
		if p, ok := t.sections[c].parties[o]; ok {
			held += p.items
		}
	}
	return held
}

func (s laneScope) last(c core.Class, o core.OwnerName) *entry {
	var most *flow
	for _, t := range s.l.tracks {
		p, ok := t.sections[c].parties[o]
		if !ok {
			continue
		}
		for _, f := range p.turns.list {
			if most == nil || f.outweighs(most) {
				most = f
			}
		}
	}
	return most.late()
}

func (f *flow) outweighs(o *flow) bool {
	if f.items.Len() != o.items.Len() {
		return f.items.Len() > o.items.Len()
	}
	return f.caller.name < o.caller.name
}

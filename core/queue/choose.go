package queue

import (
	"time"

	"radishwell/core"
)

// Hold tells whether an item may start as far as limits outside the queue go,
// such as its owner's concurrency.
type Hold uint8

// Holds. They say how far a limit reaches, so that a Pop need not look at
// everything else that it holds back.
const (
	// Go: the item may start.
	Go Hold = iota
	// HoldCaller: nothing of the caller in this lane may start.
	HoldCaller
	// HoldOwner: nothing of the owner in this lane may start.
	HoldOwner
	// HoldLane: nothing in this lane may start.
	HoldLane
)

// choice is the item that goes next.
type choice struct {
	track *track
	class core.Class
	// tag and sub are the start tags of the class and of the first owner.
	tag, sub int64
}

// before orders by the class's turn, class and the owner's turn.
func (c choice) before(o choice) bool {
	if c.tag != o.tag {
		return c.tag < o.tag
	}
	if c.class != o.class {
		return c.class < o.class
	}
	return c.sub < o.sub
}

// next returns the entry that goes next among the tracks, nil where none may.
func (q *Queue) next(now time.Time, list []*track, free func(lane string) int) *entry {
	var touched []*track
	var found *entry
	for found == nil {
		c, ok := q.first(now, list, free)
		if !ok {
			break
		}
		found = c.track.sections[c.class].pick(q.May)
		if found == nil {
			c.track.skip[c.class] = true
			c.track.pace.held()
			touched = append(touched, c.track)
		}
	}
	for _, t := range touched {
		t.skip = [core.ClassCount]bool{}
	}
	return found
}

// first returns the class and track whose turn it is, without regard to May.
func (q *Queue) first(now time.Time, list []*track, free func(lane string) int) (choice, bool) {
	var best choice
	found := false
	for _, t := range list {
		if t.items == 0 {
			continue
		}
		places := free(t.lane.name)
		if places <= 0 && t.pace.open {
			t.pace.backlog(now, t.lane.ready)
		}
		for class, s := range t.sections {
			c := core.Class(class)
			if s.items == 0 || t.skip[c] || q.room(now, t, c, places) <= 0 {
				continue
			}
			in := q.classes[c]
			option := choice{
				track: t, class: c,
				tag: q.clock.start(in.tag), sub: in.clock.start(s.first().owner.tag),
			}
			if !found || option.before(best) {
				best, found = option, true
			}
		}
	}
	return best, found
}

// room returns how many requests of a class and track could start, given how
// many of the lane could.
//
// Overnight work leaves the spare places, where there are any: what runs is not
// taken back, so without them a check in front of a client waits for a review to
// end when reviews hold all places.
//
// Long work leaves a quarter of the places to short work of its class or a more
// urgent one, while such has come of late. Without it a few long requests hold
// all of them, as classes alone do not tell long from short. A quarter is what
// long work then gives up at most.
func (q *Queue) room(now time.Time, t *track, class core.Class, places int) int {
	if class == core.Overnight {
		places -= q.Spare
	}
	g := t.lane.gauge
	if !t.long || places <= 0 || !g.shortSince(now.Add(-recentShort), class) {
		return places
	}
	all := g.running[0] + g.running[1] + places
	return min(places, max(1, all*3/4)-g.running[1])
}

// pick returns the section's next entry that may start. Parties that are held
// are taken out of the heap while it looks on, so each is looked at once.
func (s *section) pick(may func(Item) Hold) *entry {
	if may == nil {
		return s.first().first().items.top()
	}
	var held []*party
	var found *entry
	for found == nil && s.turns.Len() > 0 {
		p := s.first()
		e, hold := p.pick(may)
		if hold == HoldLane {
			break
		}
		if found = e; e == nil {
			held = append(held, p)
			s.turns.cut(p.place)
		}
	}
	for _, p := range held {
		s.turns.add(p)
	}
	return found
}

func (p *party) pick(may func(Item) Hold) (found *entry, hold Hold) {
	var held []*flow
	for p.turns.Len() > 0 {
		f := p.first()
		e := f.items.top()
		hold = may(e.Item)
		if hold == Go {
			found = e
		}
		if hold != HoldCaller {
			break
		}
		held = append(held, f)
		p.turns.cut(f.place)
	}
	for _, f := range held {
		p.turns.add(f)
	}
	return found, hold
}

package queue

import (
	"time"

	"radishwell/core"
)

// Hold says whether a limit outside the queue, such as the concurrency limit of
// an owner, keeps an item from starting, and how far that limit reaches.
type Hold uint8

// The values of Hold. A wider hold lets Pop skip everything that the same limit
// covers.
const (
	// Go means that the item may start.
	Go Hold = iota
	// HoldCaller means that no item of the caller in this lane may start.
	HoldCaller
	// HoldOwner means that no item of the owner in this lane may start.
	HoldOwner
	// HoldLane means that no item in this lane may start.
	HoldLane
	// HoldRoom means that the resource has no room for the item now, though it may have some
	// for items of other owners. Unlike a limit, this shows how fast the lane drains.
	HoldRoom
)

// candidate is a class of a track that may provide the next item.
type candidate struct {
	track *track
	class core.Class
	// classTag and ownerTag are the start tags of the class and of its first
	// owner.
	classTag, ownerTag int64
}

// less orders candidates by the start tag of the class, the class and the start
// tag of the owner.
func (c candidate) less(o candidate) bool {
	if c.track.lane.strict && c.class != o.class {
		return c.class < o.class
	}
	if c.classTag != o.classTag {
		return c.classTag < o.classTag
	}
	if c.class != o.class {
		return c.class < o.class
	}
	return c.ownerTag < o.ownerTag
}

// nextEntry returns the entry to start next among the tracks, or nil if none
// may start.
func (q *Queue) nextEntry(now time.Time, list []*track, free func(lane string) int) *entry {
	var blocked []*track
	var found *entry
	for found == nil {
		c, ok := q.bestCandidate(now, list, free)
		if !ok {
			break
		}
		var noRoom bool
		found, noRoom = c.track.classes[c.class].pick(q.CheckHold)
		if found == nil {
			c.track.blocked[c.class] = true
			if noRoom {
				c.track.drain.lacksRoom = true
			} else {
				c.track.drain.markHeld()
			}
			blocked = append(blocked, c.track)
		}
	}
	for _, t := range blocked {
		t.blocked = [levels]bool{}
	}
	return found
}

// bestCandidate returns the class and track to serve next. It does not consult
// CheckHold.
func (q *Queue) bestCandidate(now time.Time, list []*track, free func(lane string) int) (candidate, bool) {
	var best candidate
	found := false
	for _, t := range list {
		if t.items == 0 {
			continue
		}
		slots := free(t.lane.name)
		if slots <= 0 && t.drain.heldByLimits {
			t.drain.beginBacklog(now, t.lane.ready)
		}
		for class, s := range t.classes {
			c := core.Class(class)
			if s == nil || s.items == 0 || t.blocked[c] || q.available(now, t, c, slots) <= 0 {
				continue
			}
			in := q.classes[c]
			cand := candidate{
				track: t, class: c,
				classTag: q.clock.startTag(in.tag), ownerTag: in.clock.startTag(s.first().owner.tag),
			}
			if !found || cand.less(best) {
				best, found = cand, true
			}
		}
	}
	return best, found
}

// available returns how many items of a class and track could start if the lane
// has the given number of free slots.
//
// Overnight work leaves Spare slots free. Running work is not preempted, so
// without spare slots an interactive request has to wait for an overnight one
// to end when overnight work holds all slots.
//
// Long items leave a quarter of the slots to short items of the same or a more
// urgent class if such items arrived recently. Without this rule a few long
// requests hold all slots, because the class does not separate long requests
// from short ones. Long items lose at most that quarter.
func (q *Queue) available(now time.Time, t *track, class core.Class, slots int) int {
	if class == core.Overnight && !q.Strict {
		slots -= q.Spare
	}
	g := t.lane.sizes
	if !t.long || slots <= 0 || !g.shortSince(now.Add(-shortWindow), class) {
		return slots
	}
	all := g.running[0] + g.running[1] + slots
	return min(slots, max(1, all*3/4)-g.running[1])
}

// pick returns the next entry of the class that may start. noRoom is set if there is none for
// lack of room. Owners that are held are removed from the heap during the search, so each is
// examined once.
func (s *classQueue) pick(checkHold func(Item) Hold) (found *entry, noRoom bool) {
	if checkHold == nil {
		return s.first().first().entries.top(), false
	}
	var held []*ownerQueue
	for found == nil && s.byTag.Len() > 0 {
		p := s.first()
		e, hold := p.pick(checkHold)
		noRoom = noRoom || hold == HoldRoom
		if hold == HoldLane {
			break
		}
		if found = e; e == nil {
			held = append(held, p)
			s.byTag.remove(p.index)
		}
	}
	for _, p := range held {
		s.byTag.insert(p)
	}
	return found, noRoom
}

func (p *ownerQueue) pick(checkHold func(Item) Hold) (found *entry, hold Hold) {
	var held []*callerQueue
	for p.byTag.Len() > 0 {
		f := p.first()
		e := f.entries.top()
		hold = checkHold(e.Item)
		if hold == Go {
			found = e
		}
		if hold != HoldCaller {
			break // HoldRoom: what the owner sends next would overtake its own
		}
		held = append(held, f)
		p.byTag.remove(f.index)
	}
	for _, f := range held {
		p.byTag.insert(f)
	}
	return found, hold
}

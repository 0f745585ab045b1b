package queue

import (
	"time"

	"radishwell/core"
)

// scope is the part of the queue to which a bound applies.
type scope interface {
	// classLoad returns the number and the bytes of a class's waiting items.
	classLoad(c core.Class) load
	// largestOwner returns the owner with most items waiting in a class, and
	// their number.
	largestOwner(c core.Class) (core.OwnerName, int)
	// ownerItems returns how many items of a class an owner has waiting.
	ownerItems(c core.Class, o core.OwnerName) int
	// victim returns the entry to displace for an owner in a class: one with a
	// late deadline, of the caller with most items waiting.
	victim(c core.Class, o core.OwnerName) *entry
}

// canShed reports whether enough can be displaced to make room for an item:
// work of less urgent classes, the least urgent first, or one item of an owner
// in the same class that has at least two more items waiting than the item's
// owner. Without the second rule an owner that fills the queue would lock out
// all others until its backlog is served.
func canShed(i Item, over load, in scope) bool {
	if over.items == 0 && over.bytes == 0 || lowerClassesSuffice(i.Class, over, in) {
		return true
	}
	name, most := in.largestOwner(i.Class)
	if over.items > 1 || most < in.ownerItems(i.Class, i.Owner)+2 {
		return false
	}
	return in.victim(i.Class, name).Size >= over.bytes
}

// shed displaces the items that canShed has found.
func (q *Queue) shed(now time.Time, i Item, over load, in scope) []Refused {
	if over.items == 0 && over.bytes == 0 {
		return nil
	}
	if lowerClassesSuffice(i.Class, over, in) {
		return q.shedLowerClasses(now, i.Class, over, in)
	}
	name, _ := in.largestOwner(i.Class)
	return []Refused{q.displace(now, in.victim(i.Class, name))}
}

func lowerClassesSuffice(c core.Class, over load, in scope) bool {
	var below load
	for lower := c + 1; lower < levels; lower++ {
		l := in.classLoad(lower)
		below.items += l.items
		below.bytes += l.bytes
	}
	return below.items >= over.items && below.bytes >= over.bytes
}

func (q *Queue) shedLowerClasses(now time.Time, c core.Class, over load, in scope) []Refused {
	var displaced []Refused
	lower := core.Class(levels - 1)
	for lower > c && (over.items > 0 || over.bytes > 0) {
		name, most := in.largestOwner(lower)
		if most == 0 {
			lower--
			continue
		}
		r := q.displace(now, in.victim(lower, name))
		over.items--
		over.bytes -= r.Item.Size
		displaced = append(displaced, r)
	}
	return displaced
}

func (q *Queue) displace(now time.Time, e *entry) Refused {
	t := e.queue.parent.parent.track
	q.removeEntry(e)
	return Refused{Item: e.Item, Refusal: fullRefusal(now, t, e.Item, core.CodeOverload,
		"The queue is full and made room for more urgent work.")}
}

// wholeScope is the scope of the bounds of the whole queue.
type wholeScope struct{ q *Queue }

func (w wholeScope) classLoad(c core.Class) load { return w.q.classes[c].load }

func (w wholeScope) largestOwner(c core.Class) (core.OwnerName, int) {
	owners := &w.q.classes[c].bySize
	if owners.Len() == 0 {
		return "", 0
	}
	return owners.top().name, owners.top().items
}

func (w wholeScope) ownerItems(c core.Class, o core.OwnerName) int {
	if found, ok := w.q.classes[c].owners[o]; ok {
		return found.items
	}
	return 0
}

func (w wholeScope) victim(c core.Class, o core.OwnerName) *entry {
	var most *callerState
	for _, candidate := range w.q.classes[c].owners[o].callers {
		if candidate.items > 0 && (most == nil || candidate.largerThan(most)) {
			most = candidate
		}
	}
	var longest *callerQueue
	for _, f := range most.queues {
		if longest == nil || f.entries.Len() > longest.entries.Len() {
			longest = f
		}
	}
	return longest.lateEntry()
}

func (c *callerState) largerThan(o *callerState) bool {
	if c.items != o.items {
		return c.items > o.items
	}
	return c.name < o.name
}

// lateEntry returns the last element of the heap's slice, whose deadline is a
// late one though not always the latest.
func (f *callerQueue) lateEntry() *entry { return f.entries.elems[f.entries.Len()-1] }

// laneScope is the scope of the bounds of one lane.
type laneScope struct{ l *lane }

func (s laneScope) classLoad(c core.Class) load {
	sum, long := s.l.tracks[0].loadOf(c), s.l.tracks[1].loadOf(c)
	sum.items += long.items
	sum.bytes += long.bytes
	return sum
}

func (s laneScope) largestOwner(c core.Class) (core.OwnerName, int) {
	var name core.OwnerName
	count := 0
	for _, t := range s.l.tracks {
		if t.classes[c] == nil {
			continue
		}
		for _, p := range t.classes[c].byTag.elems {
			items := s.ownerItems(c, p.owner.name)
			if items > count || items == count && p.owner.name < name {
				name, count = p.owner.name, items
			}
		}
	}
	return name, count
}

func (s laneScope) ownerItems(c core.Class, o core.OwnerName) int {
	items := 0
	for _, t := range s.l.tracks {
		if t.waits(c, o) {
			items += t.classes[c].owners[o].items
		}
	}
	return items
}

func (s laneScope) victim(c core.Class, o core.OwnerName) *entry {
	var most *callerQueue
	for _, t := range s.l.tracks {
		if !t.waits(c, o) {
			continue
		}
		p := t.classes[c].owners[o]
		for _, f := range p.byTag.elems {
			if most == nil || f.largerThan(most) {
				most = f
			}
		}
	}
	return most.lateEntry()
}

func (f *callerQueue) largerThan(o *callerQueue) bool {
	if f.entries.Len() != o.entries.Len() {
		return f.entries.Len() > o.entries.Len()
	}
	return f.caller.name < o.caller.name
}

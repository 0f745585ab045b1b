package slots

import (
	"container/heap"
	"time"

	"radishwell/core"
)

// weights are the shares of the classes when all of them wait. Interactive and
// evening loads have people waiting; overnight ones get a twelfth, so that they
// end by the morning whatever the evening brings.
var weights = [core.ClassCount]float64{core.Interactive: 8, core.Evening: 3, core.Overnight: 1}

// sweepEvery is far below Lifetime, so a request is forgotten in time.
const sweepEvery = 100 * time.Millisecond

// line orders the requests that wait for a slot: classes by weight, the owners
// of a class in turn, an owner's loads by deadline.
//
// Owners take turns because one that wakes hundreds of models at once would
// else, by deadlines alone, keep everybody else waiting until all are loaded.
type line struct {
	waiting map[string]*waiter
	classes [core.ClassCount]classLine
	// turns tells when an owner last got a slot, by a counter.
	turns map[core.OwnerName]uint64
	turn  uint64
	sweep time.Time
}

// classLine is the requests of one class by owner.
type classLine struct {
	owners map[core.OwnerName]*waiterHeap
	count  int
	// served is the class's virtual time: slots granted by weight.
	served float64
}

type waiter struct {
	ask  Ask
	seen time.Time
	// place is its index in the heap of its owner.
	place int
}

func (l *line) len() int { return len(l.waiting) }

// put adds a request or renews it. The class is clamped to a known one.
func (l *line) put(now time.Time, a Ask) {
	if l.waiting == nil {
		l.waiting = make(map[string]*waiter)
		l.turns = make(map[core.OwnerName]uint64)
	}
	a.Class = min(a.Class, core.Overnight)
	if w := l.waiting[a.ID]; w != nil && samePlace(w.ask, a) {
		w.seen = now
		return
	}
	l.remove(a.ID)
	class := &l.classes[a.Class]
	if class.count == 0 {
		l.join(class)
	}
	class.count++
	w := &waiter{ask: a, seen: now}
	l.waiting[a.ID] = w
	if class.owners[a.Owner] == nil {
		class.owners[a.Owner] = &waiterHeap{}
	}
	heap.Push(class.owners[a.Owner], w)
}

func samePlace(a, b Ask) bool {
	return a.Class == b.Class && a.Owner == b.Owner && a.Deadline.Equal(b.Deadline)
}

// join lets a class that had nothing waiting in at the present virtual time: it
// gets no credit for the time when it wanted nothing.
func (l *line) join(class *classLine) {
	class.owners = make(map[core.OwnerName]*waiterHeap)
	least, found := 0.0, false
	for i := range l.classes {
		other := &l.classes[i]
		if other.count > 0 && (!found || other.served < least) {
			least, found = other.served, true
		}
	}
	class.served = max(class.served, least)
}

// remove takes a request out.
func (l *line) remove(id string) {
	w := l.waiting[id]
	if w == nil {
		return
	}
	class := &l.classes[w.ask.Class]
	class.count--
	delete(l.waiting, id)
	owner := class.owners[w.ask.Owner]
	heap.Remove(owner, w.place)
	if owner.Len() == 0 {
		delete(class.owners, w.ask.Owner)
	}
}

// expire forgets requests whose agents no longer ask, and those whose deadline
// has passed: a load that nobody waits for any more helps nobody.
//
// It looks through the line at most once in sweepEvery: a thousand waiting
// requests that each renew would else cost a million steps a renewal.
func (l *line) expire(now time.Time) {
	if now.Before(l.sweep) {
		return
	}
	l.sweep = now.Add(sweepEvery)
	for id, w := range l.waiting {
		if !now.Before(w.seen.Add(Lifetime)) || now.After(w.ask.Deadline) {
			l.remove(id)
		}
	}
	if len(l.waiting) == 0 {
		clear(l.turns)
		l.classes = [core.ClassCount]classLine{}
	}
}

// pop removes the request to be served next. There must be one.
func (l *line) pop() Ask {
	class := l.nextClass()
	w := class.nextOwner(l.turns)
	l.remove(w.ask.ID)
	class.served += 1 / weights[w.ask.Class]
	l.turn++
	l.turns[w.ask.Owner] = l.turn
	return w.ask
}

func (l *line) nextClass() *classLine {
	var best *classLine
	for i := range l.classes {
		c := &l.classes[i]
		if c.count > 0 && (best == nil || c.served < best.served) {
			best = c
		}
	}
	return best
}

// nextOwner returns the most urgent request of the owner whose turn it is: who
// got a slot longest ago, and of those without one, who has the earliest
// deadline.
func (c *classLine) nextOwner(turns map[core.OwnerName]uint64) *waiter {
	var best *waiterHeap
	var name core.OwnerName
	for owner, h := range c.owners {
		if best == nil || ownerBefore(turns[owner], h, owner, turns[name], best, name) {
			best, name = h, owner
		}
	}
	return (*best)[0]
}

func ownerBefore(turn uint64, h *waiterHeap, owner core.OwnerName, than uint64, other *waiterHeap, name core.OwnerName) bool {
	if turn != than {
		return turn < than
	}
	if c := (*h)[0].ask.Deadline.Compare((*other)[0].ask.Deadline); c != 0 {
		return c < 0
	}
	return owner < name
}

// waiterHeap orders an owner's requests by deadline.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }
func (h waiterHeap) Less(i, j int) bool {
	if c := h[i].ask.Deadline.Compare(h[j].ask.Deadline); c != 0 {
		return c < 0
	}
	return h[i].ask.ID < h[j].ask.ID
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.place = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}

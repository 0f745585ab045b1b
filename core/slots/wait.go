package slots

import (
	"container/heap"
	"time"

	"radishwell/core"
)

// weights are the shares of the classes while all of them have requests
// waiting. Interactive and evening loads have people waiting for them.
// Overnight loads get a twelfth, so that they finish by the morning whatever
// the load in the evening.
var weights = [core.ClassCount]float64{core.Interactive: 8, core.Evening: 3, core.Overnight: 1}

// sweepInterval is far below Lifetime, so requests expire in time.
const sweepInterval = 100 * time.Millisecond

// waitQueue orders the requests that wait for a slot: classes by weight, the
// owners of a class in turn, and the loads of an owner by deadline.
//
// Owners take turns because an owner that requests hundreds of models at once
// would otherwise keep all others waiting until they are loaded, if deadlines
// alone decided.
type waitQueue struct {
	waiting map[string]*waiter
	classes [core.ClassCount]classQueue
	// lastServed holds the value of serveCount when an owner last got a slot.
	lastServed map[core.OwnerName]uint64
	serveCount uint64
	nextSweep  time.Time
}

// classQueue holds the requests of one class by owner.
type classQueue struct {
	owners map[core.OwnerName]*waiterHeap
	count  int
	// virtualTime is the number of slots granted to the class, divided by its
	// weight.
	virtualTime float64
}

type waiter struct {
	request   Request
	renewedAt time.Time
	// index is the position in the heap of the owner.
	index int
}

func (q *waitQueue) len() int { return len(q.waiting) }

// add adds a request or renews it. An unknown class counts as overnight.
func (q *waitQueue) add(now time.Time, r Request) {
	if q.waiting == nil {
		q.waiting = make(map[string]*waiter)
		q.lastServed = make(map[core.OwnerName]uint64)
	}
	r.Class = min(r.Class, core.Overnight)
	if w := q.waiting[r.ID]; w != nil && sameOrder(w.request, r) {
		w.renewedAt = now
		return
	}
	q.remove(r.ID)
	class := &q.classes[r.Class]
	if class.count == 0 {
		q.activate(class)
	}
	class.count++
	w := &waiter{request: r, renewedAt: now}
	q.waiting[r.ID] = w
	if class.owners[r.Owner] == nil {
		class.owners[r.Owner] = &waiterHeap{}
	}
	heap.Push(class.owners[r.Owner], w)
}

func sameOrder(a, b Request) bool {
	return a.Class == b.Class && a.Owner == b.Owner && a.Deadline.Equal(b.Deadline)
}

// activate moves a class without waiting requests to the present virtual time,
// so that it gets no credit for the time in which it had none.
func (q *waitQueue) activate(class *classQueue) {
	class.owners = make(map[core.OwnerName]*waiterHeap)
	least, found := 0.0, false
	for i := range q.classes {
		other := &q.classes[i]
		if other.count > 0 && (!found || other.virtualTime < least) {
			least, found = other.virtualTime, true
		}
	}
	class.virtualTime = max(class.virtualTime, least)
}

// remove removes a request.
func (q *waitQueue) remove(id string) {
	w := q.waiting[id]
	if w == nil {
		return
	}
	class := &q.classes[w.request.Class]
	class.count--
	delete(q.waiting, id)
	owner := class.owners[w.request.Owner]
	heap.Remove(owner, w.index)
	if owner.Len() == 0 {
		delete(class.owners, w.request.Owner)
	}
}

// expire removes requests that are no longer renewed and those whose deadline
// has passed, because no request waits for their load any more.
//
// It scans the queue at most once per sweepInterval. Otherwise the renewals of
// a thousand waiting requests would cost a million steps per renewal interval.
func (q *waitQueue) expire(now time.Time) {
	if now.Before(q.nextSweep) {
		return
	}
	q.nextSweep = now.Add(sweepInterval)
	for id, w := range q.waiting {
		if !now.Before(w.renewedAt.Add(Lifetime)) || now.After(w.request.Deadline) {
			q.remove(id)
		}
	}
	if len(q.waiting) == 0 {
		clear(q.lastServed)
		q.classes = [core.ClassCount]classQueue{}
	}
}

// pop removes the request to serve next. The queue must not be empty.
func (q *waitQueue) pop() Request {
	class := q.nextClass()
	w := class.nextOwner(q.lastServed)
	q.remove(w.request.ID)
	class.virtualTime += 1 / weights[w.request.Class]
	q.serveCount++
	q.lastServed[w.request.Owner] = q.serveCount
	return w.request
}

func (q *waitQueue) nextClass() *classQueue {
	var best *classQueue
	for i := range q.classes {
		c := &q.classes[i]
		if c.count > 0 && (best == nil || c.virtualTime < best.virtualTime) {
			best = c
		}
	}
	return best
}

// nextOwner returns the most urgent request of the owner to serve next: the one
// that got a slot least recently, and among owners that have had none, the one
// with the earliest deadline.
func (c *classQueue) nextOwner(lastServed map[core.OwnerName]uint64) *waiter {
	var best *waiterHeap
	var name core.OwnerName
	for owner, h := range c.owners {
		if best == nil || ownerLess(lastServed[owner], h, owner, lastServed[name], best, name) {
			best, name = h, owner
		}
	}
	return (*best)[0]
}

func ownerLess(served uint64, queue *waiterHeap, owner core.OwnerName, otherServed uint64, other *waiterHeap, otherOwner core.OwnerName) bool {
	if served != otherServed {
		return served < otherServed
	}
	if c := (*queue)[0].request.Deadline.Compare((*other)[0].request.Deadline); c != 0 {
		return c < 0
	}
	return owner < otherOwner
}

// waiterHeap orders the requests of an owner by deadline.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }
func (h waiterHeap) Less(i, j int) bool {
	if c := h[i].request.Deadline.Compare(h[j].request.Deadline); c != 0 {
		return c < 0
	}
	return h[i].request.ID < h[j].request.ID
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}

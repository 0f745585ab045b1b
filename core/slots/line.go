package slots

import (
	"cmp"
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
	count   [core.ClassCount]int
	// served is the virtual time of each class: slots granted by weight.
	served [core.ClassCount]float64
	// turns tells when an owner last got a slot, by a counter.
	turns map[core.OwnerName]uint64
	turn  uint64
	sweep time.Time
}

type waiter struct {
	ask  Ask
	seen time.Time
}

func (l *line) len() int { return len(l.waiting) }

func (l *line) put(now time.Time, a Ask) {
	if l.waiting == nil {
		l.waiting = make(map[string]*waiter)
		l.turns = make(map[core.OwnerName]uint64)
	}
	if a.Class >= core.ClassCount {
		a.Class = core.Overnight
	}
	l.remove(a.ID)
	if l.count[a.Class] == 0 {
		l.join(a.Class)
	}
	l.waiting[a.ID] = &waiter{ask: a, seen: now}
	l.count[a.Class]++
}

// join lets a class that had nothing waiting in at the present virtual time: it
// gets no credit for the time when it wanted nothing.
func (l *line) join(c core.Class) {
	least, found := 0.0, false
	for other := range core.ClassCount {
		if l.count[other] > 0 && (!found || l.served[other] < least) {
			least, found = l.served[other], true
		}
	}
	l.served[c] = max(l.served[c], least)
}

func (l *line) remove(id string) {
	if w := l.waiting[id]; w != nil {
		l.count[w.ask.Class]--
		delete(l.waiting, id)
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
		l.served = [core.ClassCount]float64{}
	}
}

// pop removes the request to be served next. There must be one.
func (l *line) pop() Ask {
	var best *waiter
	for _, w := range l.waiting {
		if best == nil || l.compare(w.ask, best.ask) < 0 {
			best = w
		}
	}
	a := best.ask
	l.remove(a.ID)
	l.served[a.Class] += 1 / weights[a.Class]
	l.turn++
	l.turns[a.Owner] = l.turn
	return a
}

func (l *line) compare(a, b Ask) int {
	if a.Class != b.Class {
		if c := cmp.Compare(l.served[a.Class], l.served[b.Class]); c != 0 {
			return c
		}
		return cmp.Compare(a.Class, b.Class)
	}
	if c := cmp.Compare(l.turns[a.Owner], l.turns[b.Owner]); c != 0 {
		return c
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

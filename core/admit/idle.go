package admit

import (
	"time"

	"radishwell/core"
)

// look returns the record of a name with the limits given, for reading. A name
// that has none gets a record of its own that is not kept, so that requests that
// are refused leave nothing behind.
func (a *Admit) look(now time.Time, k key, l core.Limits, s Share) *record {
	c, ok := a.records[k]
	if !ok {
		c = &record{key: k, idle: -1}
	}
	c.set(now, l, s)
	return c
}

// keep returns the record of a name and stores it.
func (a *Admit) keep(now time.Time, k key, l core.Limits, s Share) *record {
	c := a.look(now, k, l, s)
	if a.records == nil {
		a.records = make(map[key]*record)
	}
	a.records[k] = c
	if c.idle >= 0 {
		a.wake(c)
	}
	return c
}

// rest drops a record that equals a fresh one, and lists it as idle otherwise.
// Dropping it while its bucket is not full would hand its name a fresh burst.
func (a *Admit) rest(now time.Time, c *record) {
	if c.rested(now) {
		delete(a.records, c.key)
		return
	}
	c.idle = len(a.idle)
	a.idle = append(a.idle, c)
}

func (a *Admit) wake(c *record) {
	last := len(a.idle) - 1
	moved := a.idle[last]
	a.idle[c.idle] = moved
	moved.idle = c.idle
	a.idle[last] = nil
	a.idle = a.idle[:last]
	c.idle = -1
}

// sweep drops a few idle records whose buckets have filled up, so that names
// that fell silent do not stay in memory for ever.
func (a *Admit) sweep(now time.Time) {
	for range min(sweepEach, len(a.idle)) {
		if a.next >= len(a.idle) {
			a.next = 0
		}
		c := a.idle[a.next]
		if !c.rested(now) {
			a.next++
			continue
		}
		a.wake(c)
		delete(a.records, c.key)
	}
}

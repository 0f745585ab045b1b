package admit

import (
	"time"

	"radishwell/core"
)

// lookup returns the record of a name with the given limits. If there is none,
// it returns a new record without storing it, so that refused requests leave
// nothing behind.
func (a *Limiter) lookup(now time.Time, k key, l core.Limits, s Share) *record {
	c, ok := a.records[k]
	if !ok {
		c = &record{key: k, idleIndex: -1}
	}
	c.setLimits(now, l, s)
	return c
}

// retain returns the record of a name and stores it.
func (a *Limiter) retain(now time.Time, k key, l core.Limits, s Share) *record {
	c := a.lookup(now, k, l, s)
	if a.records == nil {
		a.records = make(map[key]*record)
	}
	a.records[k] = c
	if c.idleIndex >= 0 {
		a.removeIdle(c)
	}
	return c
}

// retire deletes a record that equals a new one, and lists it as idle
// otherwise. Deleting it before its bucket is full would give its name another
// burst.
func (a *Limiter) retire(now time.Time, c *record) {
	if c.isFresh(now) {
		delete(a.records, c.key)
		return
	}
	c.idleIndex = len(a.idle)
	a.idle = append(a.idle, c)
}

func (a *Limiter) removeIdle(c *record) {
	last := len(a.idle) - 1
	moved := a.idle[last]
	a.idle[c.idleIndex] = moved
	moved.idleIndex = c.idleIndex
	a.idle[last] = nil
	a.idle = a.idle[:last]
	c.idleIndex = -1
}

// sweepIdle deletes some idle records whose buckets are full, so that names no
// longer in use do not stay in memory.
func (a *Limiter) sweepIdle(now time.Time) {
	for range min(sweepCount, len(a.idle)) {
		if a.nextSweep >= len(a.idle) {
			a.nextSweep = 0
		}
		c := a.idle[a.nextSweep]
		if !c.isFresh(now) {
			a.nextSweep++
			continue
		}
		a.removeIdle(c)
		delete(a.records, c.key)
	}
}

package dedupe

import "time"

// Peek returns the state of an attempt without sealing it. It reports false if
// the attempt has not arrived.
//
// Entries peek for a while before they seal, in case a caller sends the same
// request several times concurrently. An entry that sealed at once would seal
// the attempt that another one has just claimed and is about to hand over. That
// one would claim the next attempt, which would be sealed in turn, until all of
// them gave up although a host was free.
func (t *Table) Peek(now time.Time, c Call) (state State, known bool) {
	t.expire(now)
	if c.Incarnation != t.Incarnation {
		return Lost, true
	}
	r := t.records[c.ID]
	if r == nil || r.attempt < c.Attempt {
		return Sealed, false
	}
	if r.attempt > c.Attempt {
		return Sealed, true
	}
	return r.visibleState(), true
}

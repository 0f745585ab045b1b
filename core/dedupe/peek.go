package dedupe

import "time"

// Peek tells how an attempt stands without sealing it; known is false where it
// has not arrived.
//
// It answers several sendings of one request at once. An asker that seals right
// away seals the attempt that another sending has just claimed and is about to
// hand over; that one claims the next, which is sealed in turn, and all of them
// give up although a host was free. So an asker peeks for a while first.
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
	return r.standing(), true
}

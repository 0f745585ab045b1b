package turn

import (
	"time"

	"radishwell/core"
)

// Returns spreads the times at which refused callers return for the same resource, in the order
// of their refusals. Without it those refused together return together, and most are refused
// again. The zero Returns is ready for use.
type Returns struct{ next time.Time }

// At returns when the next refused caller is to return: not before the time at which there
// should be room for one, and gap after the one before. It is never after latest.
func (r *Returns) At(room time.Time, gap time.Duration, latest time.Time) time.Time {
	at := core.Earlier(core.Later(room, r.next), latest)
	r.next = at.Add(gap)
	if r.next.After(latest) {
		r.next = room // a new round begins once the time in which callers return is used up
	}
	return at
}

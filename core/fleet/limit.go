package fleet

import (
	"time"

	"radishwell/core"
)

// Limit returns the rate that the host takes from all entries together.
func (h *Host) Limit() core.RateLimit { return h.limit }

// Named takes in the rate that an answer names to a request that was sent at a time, and
// tells whether it is another than before. Answers overtake each other: one to a request
// that was sent before the host last named a rate does not lift it.
func (h *Host) Named(sent, now time.Time, limit core.RateLimit) bool {
	if !limit.Named && !sent.After(h.limitAt) {
		return false
	}
	changed := limit != h.limit
	h.limit = limit
	if limit.Named {
		h.limitAt = now
	}
	return changed
}

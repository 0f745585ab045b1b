package fleet

import (
	"time"

	"radishwell/core"
)

// leastRate is the requests a second that a host is sent whatever it names: only its
// answers tell when a limit has ended.
const leastRate = 0.1

// Limit returns the rate that the host takes from all entries together.
func (h *Host) Limit() core.RateLimit { return h.limit }

// Named takes in the rate that an answer names to a request that was sent at a time, and
// tells whether it is another than before. Answers overtake each other: one to a request
// that was sent before the host last named a rate does not lift it.
func (h *Host) Named(sent, now time.Time, limit core.RateLimit) bool {
	if !limit.Named && !sent.After(h.limitAt) {
		return false
	}
	if limit.Named {
		limit.Rate = max(limit.Rate, leastRate)
		h.limitAt = now
	} else {
		h.turn = time.Time{}
	}
	changed := limit != h.limit
	h.limit = limit
	return changed
}

// Turn takes in when the host, which names a rate, takes a request, and whether that turn
// was taken.
func (h *Host) Turn(now, at time.Time, taken bool) {
	if taken && at.After(now) {
		at = at.Add(time.Duration(float64(time.Second) / h.limit.Rate))
	}
	h.turn = at
}

// untilTurn returns how long requests wait for the host's next turn.
func (h *Host) untilTurn(now time.Time) time.Duration {
	if !h.limit.Named {
		return 0
	}
	return max(0, h.turn.Sub(now))
}

// Limited tells whether any host names a rate.
func (v *View) Limited() bool {
	for _, h := range v.hosts {
		if h.limit.Named {
			return true
		}
	}
	return false
}

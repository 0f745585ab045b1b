package fleet

import (
	"time"

	"radishwell/core"
)

const (
	// LimitAge is how long a rate limit counts after it was last named.
	LimitAge = time.Minute
	// leastRate is the requests a second that a host is sent whatever it names: only its
	// answers tell when a limit has ended.
	leastRate = 0.1
	// nextAge is how long what is known of the next free reservation counts: others
	// release theirs, and the part of the rate that is counted here grows.
	nextAge = 500 * time.Millisecond
)

// rateLimit is the rate limit that one life of a host names.
type rateLimit struct {
	limit core.RateLimit
	// namedAt is when the host last named a limit, endedAt when it surely named none for
	// the last time.
	namedAt, endedAt time.Time
	// next is when the host takes this process's next request, as far as is known, and
	// nextAt when that was known.
	next, nextAt time.Time
}

// Limit returns the rate that the host takes from all entries together.
func (r *rateLimit) Limit(now time.Time) core.RateLimit {
	if now.Sub(r.namedAt) >= LimitAge {
		return core.RateLimit{}
	}
	return r.limit
}

// noteLimit takes in what NoteLimit does.
func (r *rateLimit) noteLimit(sent, now time.Time, limit core.RateLimit) bool {
	switch {
	case limit.Limited && now.Before(r.endedAt), !limit.Limited && !sent.After(r.namedAt):
		return false
	case limit.Limited:
		limit.Rate = max(limit.Rate, leastRate)
		if now.After(r.namedAt) {
			r.namedAt = now
		}
	default:
		r.endedAt, r.next = sent, time.Time{}
	}
	changed := limit != r.limit
	r.limit = limit
	return changed
}

// NoteReservation takes in when a request may be sent to the host, and whether that
// reservation was made for one; otherwise it is the next that is free.
func (r *rateLimit) NoteReservation(now, at time.Time, made bool) {
	if made && at.After(now) && r.limit.Limited {
		at = at.Add(time.Duration(float64(time.Second) / r.limit.Rate))
	}
	r.next, r.nextAt = at, now
}

// untilNext returns how long a request waits for the next free reservation.
func (r *rateLimit) untilNext(now time.Time) time.Duration {
	if !r.Limit(now).Limited || now.Sub(r.nextAt) >= nextAge {
		return 0
	}
	return max(0, r.next.Sub(now))
}

// Limit returns the rate that a life of a host takes from all entries together, whether the
// registry lists it or not.
func (v *View) Limit(life Life, now time.Time) core.RateLimit { return v.signalsOf(life).Limit(now) }

// Limited returns the number of hosts that name a rate limit.
func (v *View) Limited(now time.Time) (n int) {
	for _, h := range v.hosts {
		if h.Limit(now).Limited {
			n++
		}
	}
	return n
}

// NoteLimit takes in the limit that a life of a host names in an answer to a request that
// was sent at a time, and tells whether it is another than before. Answers overtake each
// other: one to a request that was sent before the host last named a limit does not end it.
func (v *View) NoteLimit(life Life, sent, now time.Time, limit core.RateLimit) bool {
	return v.signalsOf(life).noteLimit(sent, now, limit)
}

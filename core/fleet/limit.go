package fleet

import (
	"time"

	"radishwell/core"
)

const (
	// LimitTTL is how long a rate limit applies after the host last reported it.
	LimitTTL = time.Minute
	// minRate is the lowest rate, in requests a second, at which a host is still sent
	// requests, since only its answers show when a limit has ended.
	minRate = 0.1
	// reservationTTL is how long the time of the next free reservation stays valid: other
	// entries release theirs, and the keeper's share of the rate can grow.
	reservationTTL = 500 * time.Millisecond
)

// rateLimit is the rate limit that one incarnation of a host reports.
type rateLimit struct {
	limit core.RateLimit
	// reportedAt is when the host last reported a limit, and liftedAt the latest time at
	// which it is certain to have had none.
	reportedAt, liftedAt time.Time
	// nextFree is when the host takes this process's next request, as far as is known, and
	// nextFreeAsOf is when that was learned.
	nextFree, nextFreeAsOf time.Time
}

// Limit returns the rate limit of the host, which is shared by all entries.
func (r *rateLimit) Limit(now time.Time) core.RateLimit {
	if now.Sub(r.reportedAt) >= LimitTTL {
		return core.RateLimit{}
	}
	return r.limit
}

// noteLimit implements NoteLimit.
func (r *rateLimit) noteLimit(sent, now time.Time, limit core.RateLimit) bool {
	switch {
	case limit.Limited && now.Before(r.liftedAt), !limit.Limited && !sent.After(r.reportedAt):
		return false
	case limit.Limited:
		limit.Rate = max(limit.Rate, minRate)
		if now.After(r.reportedAt) {
			r.reportedAt = now
		}
	default:
		r.liftedAt, r.nextFree = sent, time.Time{}
	}
	changed := limit != r.limit
	r.limit = limit
	return changed
}

// NoteReservation records when a request may be sent to the host. If made is set, that
// reservation has been taken for a request; otherwise it is the next free one.
func (r *rateLimit) NoteReservation(now, at time.Time, made bool) {
	if made && at.After(now) && r.limit.Limited {
		at = at.Add(time.Duration(float64(time.Second) / r.limit.Rate))
	}
	r.nextFree, r.nextFreeAsOf = at, now
}

// reservationDelay returns how long a request waits for the next free reservation.
func (r *rateLimit) reservationDelay(now time.Time) time.Duration {
	if !r.Limit(now).Limited || now.Sub(r.nextFreeAsOf) >= reservationTTL {
		return 0
	}
	return max(0, r.nextFree.Sub(now))
}

// Limit returns the rate limit of an incarnation of a host, which is shared by all entries,
// whether or not the registry lists that incarnation.
func (v *View) Limit(inc Incarnation, now time.Time) core.RateLimit {
	return v.signalsOf(inc).Limit(now)
}

// Limited returns the number of hosts that have a rate limit.
func (v *View) Limited(now time.Time) (n int) {
	for _, h := range v.hosts {
		if h.Limit(now).Limited {
			n++
		}
	}
	return n
}

// NoteLimit records the limit in a host's answer to a request that was sent at the given
// time, and reports whether the limit has changed. Answers may arrive out of order: an
// answer without a limit does not lift one that was reported after its request was sent.
func (v *View) NoteLimit(inc Incarnation, sent, now time.Time, limit core.RateLimit) bool {
	return v.signalsOf(inc).noteLimit(sent, now, limit)
}

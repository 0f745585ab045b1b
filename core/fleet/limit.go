package fleet

import (
	"time"

	"radishwell/core"
)

// leastRate is the requests a second that a host is sent whatever it names: only its
// answers tell when a limit has ended.
const leastRate = 0.1

// LimitAge is how long a rate counts after it was last named.
const LimitAge = time.Minute

// turnAge is how long what is known of a host's next turn counts: others give turns back,
// and the part of the rate that is counted here grows.
const turnAge = 500 * time.Millisecond

// Limit returns the rate that the host takes from all entries together.
func (w *word) Limit(now time.Time) core.RateLimit {
	if now.Sub(w.limitAt) >= LimitAge {
		return core.RateLimit{}
	}
	return w.limit
}

// Named takes in the rate that an answer names to a request that was sent at a time, and
// tells whether it is another than before. Answers overtake each other: one to a request
// that was sent before the host last named a rate does not lift it.
func (w *word) Named(sent, now time.Time, limit core.RateLimit) bool {
	if !limit.Named && !sent.After(w.limitAt) || limit.Named && now.Before(w.liftedAt) {
		return false
	}
	if limit.Named {
		limit.Rate = max(limit.Rate, leastRate)
		if now.After(w.limitAt) {
			w.limitAt = now
		}
	} else {
		w.liftedAt, w.turn = sent, time.Time{}
	}
	changed := limit != w.limit
	w.limit = limit
	return changed
}

// Turn takes in when the host, which names a rate, takes a request, and whether that turn
// was taken.
func (w *word) Turn(now, at time.Time, taken bool) {
	if taken && at.After(now) && w.limit.Named {
		at = at.Add(time.Duration(float64(time.Second) / w.limit.Rate))
	}
	w.turn, w.turnAt = at, now
}

// untilTurn returns how long requests wait for the host's next turn.
func (w *word) untilTurn(now time.Time) time.Duration {
	if !w.Limit(now).Named || now.Sub(w.turnAt) >= turnAge {
		return 0
	}
	return max(0, w.turn.Sub(now))
}

// Limited returns the number of hosts that name a rate.
func (v *View) Limited(now time.Time) (n int) {
	for _, h := range v.hosts {
		if h.Limit(now).Named {
			n++
		}
	}
	return n
}

// NamedElsewhere takes in the rate that a life of a host named to another process.
func (v *View) NamedElsewhere(now time.Time, life Life, limit core.RateLimit) {
	v.wordOf(life).Named(now, now, limit)
}

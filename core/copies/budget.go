package copies

import "time"

const (
	// storeShare is the fraction of the weight store's rate that is used, since hosts that
	// this process cannot see use the store too.
	storeShare = 0.9
	// storeBurst is the number of loads from the weight store that may be ordered at once. The
	// store allows as many beyond its rate in any window.
	storeBurst = 3
)

// storeBudget is a token bucket that limits the loads from the weight store. A planner with
// predecessors starts with an empty one, so that all of them together order no more than a
// single planner would. The zero storeBudget is full.
type storeBudget struct {
	// fullAt is when the bucket is full if no further load is ordered.
	fullAt time.Time
}

// empty empties the bucket as of the given time.
func (b *storeBudget) empty(at time.Time, interval time.Duration) {
	if full := at.Add(storeBurst * interval); full.After(b.fullAt) {
		b.fullAt = full
	}
}

// any reports whether a load may be ordered.
func (b *storeBudget) any(now time.Time, interval time.Duration) bool {
	return !b.fullAt.After(now.Add((storeBurst - 1) * interval))
}

// take takes the token of a load.
func (b *storeBudget) take(now time.Time, interval time.Duration) {
	if b.fullAt.Before(now) {
		b.fullAt = now
	}
	b.fullAt = b.fullAt.Add(interval)
}

// storeInterval returns the time in which one token is added at a rate of loads per second.
func storeInterval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / (rate * storeShare))
}

package recent

import (
	"slices"
	"time"
)

const (
	// maxTimes is the number of durations kept, and minTimes that from which on they tell anything.
	maxTimes, minTimes = 64, 8
)

// Times are the latest durations of a series. The zero value is ready for use. It is not safe for concurrent use.
type Times struct {
	ring [maxTimes]time.Duration
	n    int
}

// Add adds a duration.
func (t *Times) Add(d time.Duration) {
	t.ring[t.n%maxTimes] = d
	t.n++
}

// Sorted returns the durations that are kept in ascending order, nil while they are too few to tell anything.
func (t *Times) Sorted() []time.Duration {
	if t.n < minTimes {
		return nil
	}
	out := slices.Clone(t.ring[:min(t.n, maxTimes)])
	slices.Sort(out)
	return out
}

// Longest returns the longest of the durations that are kept; false while they are too few to tell anything.
func (t *Times) Longest() (time.Duration, bool) {
	if t.n < minTimes {
		return 0, false
	}
	return slices.Max(t.ring[:]), true
}

package retry

import (
	"slices"
	"time"

	"radishwell/core/recent"
)

// Latencies are those of a service's latest answers, from when a request was sent until it was answered. The zero
// value is ready for use. It is not safe for concurrent use.
type Latencies struct{ recent.Times }

// Hope is what can be expected of a second attempt at a request whose first has no answer yet.
type Hope uint8

// Hopes.
const (
	// Unknown: too few requests were answered.
	Unknown Hope = iota
	// Slower: the first attempt is as likely to be answered sooner, or the second would be too late.
	Slower
	// Sooner: the second attempt is likely to be answered sooner.
	Sooner
)

// Second returns what can be expected of a second attempt now: the first was sent some time ago, and the caller
// leaves after the time that is left. It compares the chances of either to be answered within the median latency.
func (l *Latencies) Second(waited, left time.Duration) Hope {
	sorted := l.Sorted()
	n := len(sorted)
	if n == 0 {
		return Unknown
	}
	median := sorted[n/2]
	over, _ := slices.BinarySearch(sorted, waited+1)
	within, _ := slices.BinarySearch(sorted, waited+median+1)
	if left < median || 2*(within-over) >= n-over && over < n {
		return Slower
	}
	return Sooner
}

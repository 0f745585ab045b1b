package retry

import "time"

// maxDoublings keeps the shifted duration within its range.
const maxDoublings = 10

// Backoff returns the exponential backoff after a failure that follows the
// given number of consecutive failures: first, doubled for each of them, and at
// most longest.
func Backoff(first, longest time.Duration, failures int) time.Duration {
	return min(longest, first<<min(failures, maxDoublings))
}

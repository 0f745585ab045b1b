package retry

import "time"

// mostDoublings keeps pauses in range.
const mostDoublings = 10

// Pause returns the pause after a failure that followed so many others in a row: the
// first, doubled for each of those, and never more than the longest.
func Pause(first, longest time.Duration, before int) time.Duration {
	return min(longest, first<<min(before, mostDoublings))
}

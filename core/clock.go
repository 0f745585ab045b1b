package core

import "time"

// Clock tells the time to the packages under radishwell/io. Decisions under
// core get the time as an argument instead.
type Clock interface {
	// Now returns the present time, with a monotonic reading where there is one.
	Now() time.Time
}

package core

import "time"

// Clock is the source of time of the packages under radishwell/io. Packages
// under core get the time as an argument instead.
type Clock interface {
	// Now returns the current time, with a monotonic clock reading if available.
	Now() time.Time
}

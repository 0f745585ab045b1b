package core

import "time"

// minTimely is the time within which an answer is in time whatever the target: shorter waits
// cannot be kept by any choice of a host.
const minTimely = 500 * time.Millisecond

// TimeAllowed returns the time within which the answer to a request with the given target counts
// as in time: the target, or a little more if it is very short.
func TimeAllowed(target time.Duration) time.Duration { return max(target, minTimely) }

package deploy

import (
	"syscall"

	"radishwell/io/accept"
	"radishwell/io/events"
)

const (
	// minWaiting and waitingPerCore bound the callers' connections whose request waits for the
	// processor: about those that it understands within a few hundred milliseconds, so that a
	// table that is decoded or a pause of the process refuses none.
	minWaiting     = 16
	waitingPerCore = 100
	// ownDescriptors are kept for other connections than those of callers and to upstreams, of
	// which each request may need one.
	ownDescriptors = 400
	// minOpen is the least number of callers' connections.
	minOpen = 64
)

// maxWaiting returns how many callers' connections may wait for the given processors.
func maxWaiting(cores float64) int { return max(minWaiting, int(waitingPerCore*cores)) }

// maxOpen returns how many callers' connections may be open, zero if the system tells no bound on
// descriptors.
func maxOpen() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return max(minOpen, int(min(limit.Cur, 1<<20)-ownDescriptors)/2)
}

// connectionRefused counts and logs a caller's connection that was closed unread.
func (e *entry) connectionRefused(why accept.Reason) {
	e.meter.ConnectionRefused(why.String())
	events.Log(events.ConnectionRefused, "reason", why)
}

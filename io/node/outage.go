package node

import (
	"errors"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/io/events"
	"radishwell/io/objapi"
)

// outageThreshold is how long calls to the platform have to fail without a response
// before it is logged as unreachable: a single lost call is no outage.
const outageThreshold = 3 * time.Second

// outageDetector logs when the platform stops and resumes responding to this process.
type outageDetector struct {
	mu sync.Mutex
	// since is when the first of the calls without a response ended, zero after a
	// response; logged is set once the outage has been logged.
	since  time.Time
	logged bool
}

// record records the end of a call. fault is nil if the call succeeded.
func (d *outageDetector) record(now time.Time, fault *core.PlatformError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var budget *objapi.BudgetError
	if fault != nil && errors.As(fault, &budget) {
		events.Fail(events.PlatformBudget, fault)
		return
	}
	if fault == nil || fault.Fault != core.Unavailable && fault.Fault != core.Unknown {
		if d.logged {
			events.Log(events.PlatformBack, "after", now.Sub(d.since).String())
		}
		d.since, d.logged = time.Time{}, false
		return
	}
	if d.since.IsZero() {
		d.since = now
	}
	if !d.logged && !now.Before(d.since.Add(outageThreshold)) {
		d.logged = true
		events.Fail(events.PlatformUnreachable, fault)
	}
}

package node

import (
	"errors"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/io/events"
	"radishwell/io/objapi"
)

// unreachedTime is how long no call of the platform may be answered before the
// log says so: a single lost call is no outage.
const unreachedTime = 3 * time.Second

// reach follows whether the platform answers this process.
type reach struct {
	mu sync.Mutex
	// since is when the first of the unanswered calls ended, zero after an
	// answer; told that the log says so.
	since time.Time
	told  bool
}

// note takes the end of a call. Fault is nil where it did what it should.
func (r *reach) note(now time.Time, fault *core.PlatformError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var budget *objapi.BudgetError
	if fault != nil && errors.As(fault, &budget) {
		events.Fail(events.PlatformBudget, fault)
		return
	}
	if fault == nil || fault.Fault != core.Unavailable && fault.Fault != core.Unknown {
		if r.told {
			events.Log(events.PlatformBack, "after", now.Sub(r.since).String())
		}
		r.since, r.told = time.Time{}, false
		return
	}
	if r.since.IsZero() {
		r.since = now
	}
	if !r.told && !now.Before(r.since.Add(unreachedTime)) {
		r.told = true
		events.Fail(events.PlatformUnreachable, fault)
	}
}

package admit

import (
	"time"

	"radishwell/core"
)

// sweepCount is how many idle records each Take examines. It is twice the
// number of records that the request of a Take can add, so the number of idle
// records shrinks while requests arrive.
const sweepCount = 2 * int(scopeCount)

// Limiter enforces limits by counting the waiting and running requests of each
// name. The zero value is ready for use. It is not safe for concurrent use.
type Limiter struct {
	records  map[key]*record
	requests map[core.RequestID]*heldRequest
	// idle lists records that hold no request but whose bucket may not be full.
	idle []*record
	// nextSweep is the index in idle at which the next sweep starts.
	nextSweep int
}

// heldRequest is a request that waits or runs, with the records that count it.
type heldRequest struct {
	records [scopeCount]*record
	size    core.Bytes
	// started is zero while the request waits.
	started time.Time
}

// Check returns the refusal that the limits give the request, or nil if they
// admit it. The refusal's outcome is not-run, and its RetryAt is when the limit
// that refuses it is expected to admit it. If several limits refuse it, Check
// returns the refusal with the latest RetryAt, because the request must pass
// them all.
func (a *Limiter) Check(now time.Time, r core.Request, b Bounds) *core.Refusal {
	var worst *core.Refusal
	limits := b.limits()
	for i, k := range keysOf(r) {
		if k.name == "" {
			continue
		}
		ref := a.lookup(now, k, limits[i], b.Share).check(now, r)
		if ref != nil && (worst == nil || ref.RetryAt.After(worst.RetryAt)) {
			worst = ref
		}
	}
	return worst
}

// Take counts the request as waiting and takes its tokens without checking the
// limits. It does nothing for a request that is held already.
func (a *Limiter) Take(now time.Time, r core.Request, b Bounds) {
	if _, ok := a.requests[r.ID]; ok {
		return
	}
	if a.requests == nil {
		a.requests = make(map[core.RequestID]*heldRequest)
	}
	h := &heldRequest{size: r.Size}
	limits := b.limits()
	for i, k := range keysOf(r) {
		if k.name == "" {
			continue
		}
		c := a.retain(now, k, limits[i], b.Share)
		c.waiting++
		c.bytes += r.Size
		if c.bucket != nil {
			c.bucket.AllowN(now, 1)
		}
		h.records[i] = c
	}
	a.requests[r.ID] = h
	a.sweepIdle(now)
}

// Offer calls Check and, if the request is not refused, Take.
func (a *Limiter) Offer(now time.Time, r core.Request, b Bounds) *core.Refusal {
	if ref := a.Check(now, r, b); ref != nil {
		return ref
	}
	a.Take(now, r, b)
	return nil
}

// CanStart reports whether every concurrency limit admits the waiting request.
// It returns false for a request that is not held or has started.
func (a *Limiter) CanStart(id core.RequestID) bool {
	h, ok := a.requests[id]
	if !ok || !h.started.IsZero() {
		return false
	}
	_, blocked := h.blockingScope()
	return !blocked
}

// Blocked returns the widest scope whose concurrency limit keeps a request from
// starting: the service, target, owner or caller, in this order. All requests
// of that name have to wait then. Blocked returns false if no limit does so.
func (a *Limiter) Blocked(id core.RequestID) (Scope, bool) {
	h, ok := a.requests[id]
	if !ok {
		return 0, false
	}
	return h.blockingScope()
}

func (h *heldRequest) blockingScope() (Scope, bool) {
	for _, s := range [scopeCount]Scope{Service, Target, Owner, Caller} {
		if c := h.records[s]; c != nil && !c.mayStart() {
			return s, true
		}
	}
	return 0, false
}

// Start moves a waiting request to running. It reports whether the request was
// waiting. It does not check the limits; see CanStart.
func (a *Limiter) Start(now time.Time, id core.RequestID) bool {
	h, ok := a.requests[id]
	if !ok || !h.started.IsZero() {
		return false
	}
	h.started = now
	for _, c := range h.records {
		if c == nil {
			continue
		}
		c.removeWaiting(now, h.size)
		c.running++
	}
	return true
}

// Done releases what the request holds, whether it waits or runs. It reports
// whether the request was held, so a second call does nothing.
func (a *Limiter) Done(now time.Time, id core.RequestID) bool {
	h, ok := a.requests[id]
	if !ok {
		return false
	}
	delete(a.requests, id)
	for _, c := range h.records {
		if c == nil {
			continue
		}
		c.release(now, h)
		if c.total() == 0 {
			a.retire(now, c)
		}
	}
	return true
}

func (c *record) release(now time.Time, h *heldRequest) {
	if h.started.IsZero() {
		c.removeWaiting(now, h.size)
		return
	}
	c.running--
	c.serviceTime = smooth(c.serviceTime, now.Sub(h.started))
}

// removeWaiting removes one request from the waiting ones and measures the
// interval between such removals. An interval counts only while other requests
// wait, because the time without a queue does not show how fast a queue drains.
func (c *record) removeWaiting(now time.Time, size core.Bytes) {
	if c.waiting > 1 && !c.lastLeft.IsZero() {
		c.leaveInterval = smooth(c.leaveInterval, now.Sub(c.lastLeft))
	}
	c.waiting--
	c.bytes -= size
	c.lastLeft = now
	if c.waiting == 0 {
		c.lastLeft = time.Time{}
	}
}

// Use is how much of its limits a name uses, for the explain command and
// metrics.
type Use struct {
	Waiting, Running int
	Bytes            core.Bytes
	Limits           core.Limits
}

// Use returns the use of an owner, a caller within owner, a model or a service.
// It ignores owner for the other scopes.
func (a *Limiter) Use(s Scope, owner core.OwnerName, name string) Use {
	if s != Caller {
		owner = ""
	}
	c, ok := a.records[key{scope: s, owner: owner, name: name}]
	if !ok {
		return Use{}
	}
	return Use{Waiting: c.waiting, Running: c.running, Bytes: c.bytes, Limits: c.limits}
}

// SetLimits applies changed limits to a name in use. For other names the next
// Check or Take does so.
func (a *Limiter) SetLimits(now time.Time, s Scope, owner core.OwnerName, name string, l core.Limits, sh Share) {
	if s != Caller {
		owner = ""
	}
	if c, ok := a.records[key{scope: s, owner: owner, name: name}]; ok {
		c.setLimits(now, l, sh)
	}
}

// Len returns the number of requests held.
func (a *Limiter) Len() int { return len(a.requests) }

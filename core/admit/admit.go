package admit

import (
	"time"

	"radishwell/core"
)

// sweepEach is how many idle records each Take looks at. Two is more than the
// one request that Take adds, so the idle records shrink while requests come.
const sweepEach = 2 * int(scopeCount)

// Admit holds the counts of all names that have requests waiting or running. The
// zero value is ready for use. It needs no lock of its own; its owner calls it
// from one goroutine at a time.
type Admit struct {
	records map[key]*record
	holds   map[core.RequestID]*hold
	// idle lists records that hold no request but whose bucket may not be full.
	idle []*record
	// next is where the next sweep of idle starts.
	next int
}

// hold is what one request occupies.
type hold struct {
	records [scopeCount]*record
	size    core.Bytes
	// started is zero while the request waits.
	started time.Time
}

// Check returns why the limits turn the request away, nil where they have room.
// The refusal's outcome is not-run, and its RetryAt is when the limit in the way
// has room again by what has been measured. Where several limits are in the way
// it is the one that stays longest, for the caller must pass them all.
func (a *Admit) Check(now time.Time, r core.Request, b Bounds) *core.Refusal {
	var worst *core.Refusal
	limits := b.limits()
	for i, k := range keysOf(r) {
		if k.name == "" {
			continue
		}
		ref := a.look(now, k, limits[i], b.Share).check(now, r)
		if ref != nil && (worst == nil || ref.RetryAt.After(worst.RetryAt)) {
			worst = ref
		}
	}
	return worst
}

// Take counts the request as waiting and takes its tokens, without a check. A
// request that is held already is left as it is.
func (a *Admit) Take(now time.Time, r core.Request, b Bounds) {
	if _, ok := a.holds[r.ID]; ok {
		return
	}
	if a.holds == nil {
		a.holds = make(map[core.RequestID]*hold)
	}
	h := &hold{size: r.Size}
	limits := b.limits()
	for i, k := range keysOf(r) {
		if k.name == "" {
			continue
		}
		c := a.keep(now, k, limits[i], b.Share)
		c.waiting++
		c.bytes += r.Size
		if c.bucket != nil {
			c.bucket.AllowN(now, 1)
		}
		h.records[i] = c
	}
	a.holds[r.ID] = h
	a.sweep(now)
}

// Offer is Check and, where it refuses nothing, Take.
func (a *Admit) Offer(now time.Time, r core.Request, b Bounds) *core.Refusal {
	if ref := a.Check(now, r, b); ref != nil {
		return ref
	}
	a.Take(now, r, b)
	return nil
}

// CanStart reports whether every concurrency limit has room for the waiting
// request. It is false for one that is not held or has started.
func (a *Admit) CanStart(id core.RequestID) bool {
	h, ok := a.holds[id]
	if !ok || !h.started.IsZero() {
		return false
	}
	_, held := h.blocked()
	return !held
}

// Blocked returns the widest scope whose concurrency limit keeps a waiting
// request from starting: all of its owner's, target's or service's requests
// wait then, or else all of its caller's. It is false where none does.
func (a *Admit) Blocked(id core.RequestID) (Scope, bool) {
	h, ok := a.holds[id]
	if !ok {
		return 0, false
	}
	return h.blocked()
}

func (h *hold) blocked() (Scope, bool) {
	for _, s := range [scopeCount]Scope{Service, Target, Owner, Caller} {
		if c := h.records[s]; c != nil && !c.mayStart() {
			return s, true
		}
	}
	return 0, false
}

// Start moves a waiting request to running. It reports whether the request was
// waiting; the limits are for CanStart to check.
func (a *Admit) Start(now time.Time, id core.RequestID) bool {
	h, ok := a.holds[id]
	if !ok || !h.started.IsZero() {
		return false
	}
	h.started = now
	for _, c := range h.records {
		if c == nil {
			continue
		}
		c.leave(now, h.size)
		c.running++
	}
	return true
}

// Done releases what the request holds, whether it waited or ran. It reports
// whether anything was held; a second call does nothing.
func (a *Admit) Done(now time.Time, id core.RequestID) bool {
	h, ok := a.holds[id]
	if !ok {
		return false
	}
	delete(a.holds, id)
	for _, c := range h.records {
		if c == nil {
			continue
		}
		c.release(now, h)
		if c.held() == 0 {
			a.rest(now, c)
		}
	}
	return true
}

func (c *record) release(now time.Time, h *hold) {
	if h.started.IsZero() {
		c.leave(now, h.size)
		return
	}
	c.running--
	c.service = smooth(c.service, now.Sub(h.started))
}

// leave takes one request out of the waiting ones and measures how fast they go.
// A gap counts only while others still wait: time without a queue says nothing
// of how fast a queue drains.
func (c *record) leave(now time.Time, size core.Bytes) {
	if c.waiting > 1 && !c.left.IsZero() {
		c.gap = smooth(c.gap, now.Sub(c.left))
	}
	c.waiting--
	c.bytes -= size
	c.left = now
	if c.waiting == 0 {
		c.left = time.Time{}
	}
}

// Use tells how much of its limits a name uses, for explain and metrics.
type Use struct {
	Waiting, Running int
	Bytes            core.Bytes
	Limits           core.Limits
}

// Use returns the use of an owner, caller (within owner), model or service.
func (a *Admit) Use(s Scope, owner core.OwnerName, name string) Use {
	if s != Caller {
		owner = ""
	}
	c, ok := a.records[key{scope: s, owner: owner, name: name}]
	if !ok {
		return Use{}
	}
	return Use{Waiting: c.waiting, Running: c.running, Bytes: c.bytes, Limits: c.limits}
}

// Set puts changed limits in force for a name that is in use; for any other the
// next Check or Take brings them.
func (a *Admit) Set(now time.Time, s Scope, owner core.OwnerName, name string, l core.Limits, sh Share) {
	if s != Caller {
		owner = ""
	}
	if c, ok := a.records[key{scope: s, owner: owner, name: name}]; ok {
		c.set(now, l, sh)
	}
}

// Len returns the number of requests held.
func (a *Admit) Len() int { return len(a.holds) }

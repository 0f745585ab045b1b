package proxy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/rtable"
)

const (
	// staleTableRetry is the time after which callers are to retry if the entry's table is
	// too old to judge their key or path.
	staleTableRetry = 500 * time.Millisecond
	// maxChargeAge is the longest time between the charge of a request and its sending.
	// A request that is sent later is charged again.
	maxChargeAge = 300 * time.Millisecond
)

// identify finds the customer that holds the caller's key, and refuses a request without
// a valid key unless its route is open. It decides once, on arrival: a request that was
// accepted continues if its key is removed. Aborting it would waste the work done, and
// its caller learns of the removal from the next request.
func (c *call) identify(t *rtable.Table) *core.Refusal {
	if !t.Keyed() {
		return nil
	}
	if c.ask.KeyRefusal == nil {
		c.customer = t.KeyHolder(c.ask.Key)
	}
	switch {
	case c.customer != nil || c.route.Open:
		return nil
	case c.ask.KeyRefusal != nil:
		return c.ask.KeyRefusal
	}
	return c.proxy.refuseKey(c.ask.Key, c.arrived)
}

// refuseKey refuses a request whose key is not in the table in force. An entry whose
// table may be outdated does not call a key unknown, since a newer table may have it.
func (p *Proxy) refuseKey(key core.KeyDigest, now time.Time) *core.Refusal {
	p.mu.Lock()
	removed := p.keeper.Removed(key)
	p.mu.Unlock()
	switch {
	case removed:
		return core.Refuse(core.CodeBadKey, "the key was taken away")
	case p.Behind != nil && p.Behind():
		return core.RefuseUntil(core.CodeNotReady, "this entry may lack the newest keys", now.Add(staleTableRetry))
	}
	return core.Refuse(core.CodeBadKey, "the key is unknown")
}

// refusePath refuses a request whose host name and path are not in the table in force. An entry
// whose table may be outdated does not call a path unknown, since a newer table may have it.
func (p *Proxy) refusePath(now time.Time) *core.Refusal {
	if p.Behind != nil && p.Behind() {
		return core.RefuseUntil(core.CodeNotReady, "this entry may lack the newest routes", now.Add(staleTableRetry))
	}
	return core.Refuse(core.CodeUnknownPath, "no route has this host name and path")
}

// charge takes the request's units from its customer's allowance.
func (c *call) charge(ctx context.Context) *core.Refusal {
	p := c.proxy
	if c.customer == nil || p.Quotas == nil || !c.customer.Allowance.Limited() {
		return nil
	}
	c.units = c.customer.Allowance.Cost(&c.ask)
	refusal := p.Quotas.Take(ctx, c.customer.Name, c.units)
	if refusal == nil {
		c.chargedAt = p.Clock.Now()
		return nil
	}
	refusal.RetryAt = c.retryAt(refusal.RetryAt.Sub(p.Clock.Now()))
	return refusal
}

// recharge replaces the charge of a request that has waited by a new one just before the
// request is sent. The time at which upstreams receive requests is what counts: otherwise
// the units of many requests that wait for one model would all be used at the moment at
// which the model is loaded.
func (c *call) recharge(ctx context.Context, t *target) *core.Refusal {
	if c.units == 0 || c.ran > 0 || !c.chargedAt.IsZero() && c.proxy.Clock.Now().Sub(c.chargedAt) < maxChargeAge {
		return nil
	}
	c.refund()
	refusal := c.charge(ctx)
	if refusal != nil {
		c.abandon(t)
	}
	return refusal
}

// refund returns the units of a request unless it may have run.
func (c *call) refund() {
	if c.chargedAt.IsZero() || c.ran > 0 {
		return
	}
	c.chargedAt = time.Time{}
	c.proxy.Quotas.Refund(c.customer.Name, c.units)
}

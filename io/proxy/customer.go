package proxy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/rtable"
)

const (
	// tableBack is after how long callers come back whose keys an entry cannot judge.
	tableBack = 500 * time.Millisecond
	// chargeAge is how long before a request is sent its units may have been taken.
	chargeAge = 300 * time.Millisecond
)

// identify finds the customer that holds the caller's key. It is decided once, as the
// request arrives: one that was let in goes on when its key is taken away, since cutting it
// would waste what was done and tell its caller nothing that the next request does not.
func (c *call) identify(t *rtable.Table) *core.Refusal {
	if !t.Keyed() {
		return nil
	}
	if c.ask.KeyFault == nil {
		c.customer = t.KeyHolder(c.ask.Key)
	}
	switch {
	case c.customer != nil || c.route.Open:
		return nil
	case c.ask.KeyFault != nil:
		return c.ask.KeyFault
	}
	return c.proxy.unknownKey(c.ask.Key, c.arrived)
}

// unknownKey refuses a request whose key the table in force lacks. An entry that may be
// behind does not call a key unknown that a newer table may have.
func (p *Proxy) unknownKey(key core.KeyDigest, now time.Time) *core.Refusal {
	p.mu.Lock()
	removed := p.keeper.Removed(key)
	p.mu.Unlock()
	switch {
	case removed:
		return core.Refuse(core.CodeBadKey, "the key was taken away")
	case p.Behind != nil && p.Behind():
		return core.RefuseUntil(core.CodeNotReady, "this entry may lack the newest keys", now.Add(tableBack))
	}
	return core.Refuse(core.CodeBadKey, "the key is unknown")
}

// charge takes what the request counts against its customer's allowance.
func (c *call) charge(ctx context.Context) *core.Refusal {
	p := c.proxy
	if c.customer == nil || p.Quotas == nil || !c.customer.Allowance.Limited() {
		return nil
	}
	c.units = c.customer.Allowance.Cost(&c.ask)
	refusal := p.Quotas.Take(ctx, c.customer.Name, c.units)
	if refusal == nil {
		c.charged = p.Clock.Now()
		return nil
	}
	refusal.RetryAt = c.back(refusal.RetryAt.Sub(p.Clock.Now()))
	return refusal
}

// chargeAgain takes the units of a request that has waited just before it is sent. What
// counts is when upstreams get requests: taken on arrival, the units of many that wait
// for one model would all be used in the moment in which it is there.
func (c *call) chargeAgain(ctx context.Context, t *target) *core.Refusal {
	if c.units == 0 || c.ran > 0 || !c.charged.IsZero() && c.proxy.Clock.Now().Sub(c.charged) < chargeAge {
		return nil
	}
	c.refund()
	refusal := c.charge(ctx)
	if refusal != nil {
		c.abandon(t)
	}
	return refusal
}

// refund gives the units of a request back unless it may have run.
func (c *call) refund() {
	if c.charged.IsZero() || c.ran > 0 {
		return
	}
	c.charged = time.Time{}
	c.proxy.Quotas.Put(c.customer.Name, c.units)
}

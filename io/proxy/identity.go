package proxy

import (
	"context"
	"time"

	"radishwell/core/fleet"
	"radishwell/io/awake"
	"radishwell/io/events"
)

// checkIdentity finds out whether a host that has refused the request as misdirected is another incarnation than
// the registry says, so that the next attempt is addressed to that one. A host of a service with models may only
// lack the model, so it is asked.
func (c *call) checkIdentity(ctx context.Context, t *target) {
	if c.startIdentityCheck(t) && (!c.service.HasModels() || c.statesOtherID(ctx, t)) {
		c.noteDenied(t)
	}
}

// checkUnproven does the same for a host that has not answered yet, before the request is sent there, if the retry
// budget has no second attempt.
func (c *call) checkUnproven(ctx context.Context, t *target) {
	p := c.proxy
	p.mu.Lock()
	unproven := t.host.AnsweredSince().IsZero() && p.retriesLeft(p.Clock.Now(), c.service.Name) < 1
	p.mu.Unlock()
	if unproven && c.startIdentityCheck(t) && c.statesOtherID(ctx, t) {
		c.noteDenied(t)
	}
}

// startIdentityCheck is fleet.View.StartIdentityCheck.
func (c *call) startIdentityCheck(t *target) bool {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.StartIdentityCheck(t.incarnation(), p.Clock.Now())
}

// statesOtherID asks a host for its ID and reports whether it states another one than it was chosen by.
func (c *call) statesOtherID(ctx context.Context, t *target) bool {
	path := c.service.HealthPath
	if c.proxy.Managed == nil || path == "" {
		return false
	}
	ctx, stop := awake.WithTimeout(ctx, reportTimeout)
	defer stop()
	id, err := c.proxy.Managed(t.address).Identity(ctx, path)
	return err == nil && id != "" && id != t.id
}

// noteDenied records that the host at a target's address is another incarnation.
func (c *call) noteDenied(t *target) {
	c.proxy.Update(func(v *fleet.View, now time.Time) { v.NoteDenied(t.incarnation(), now) })
	events.Log(events.IncarnationDenied, "host", t.id, "address", t.address, "request", c.ask.ID)
}

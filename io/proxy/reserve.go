package proxy

import (
	"context"
	"time"

	"radishwell/core/admit"
	"radishwell/core/fleet"
	"radishwell/io/loop"
)

// keepsWaiting reports whether a request waits although a host was chosen, since the
// next reservation there is too far ahead. It waits if it has been sent already and
// must not be refused, if the wait is within the route's target, or if another host
// will have the model sooner.
func (c *call) keepsWaiting(choice fleet.Choice) bool {
	switch {
	case choice.Paced <= admit.MaxAhead:
		return false
	case c.started || c.ran > 0 || !choice.Overloaded(c.route.Target):
		return true
	}
	at, ok := c.proxy.forecasts[c.query.Model]
	return ok && at.Before(c.callerLeavesAt().Add(-refusalMargin))
}

// reserve makes a reservation at a host that names a rate limit, and waits until its
// time. It returns false if that time is too far ahead or the caller has left; the
// choice of the host is undone then.
func (c *call) reserve(ctx context.Context, t *target) bool {
	p := c.proxy
	if !t.limit.Limited || p.Pacer == nil {
		return true
	}
	began := p.Clock.Now()
	at, ok := p.Pacer.Reserve(ctx, t.id, t.limit.Rate, began.Add(admit.MaxAhead))
	p.Update(func(_ *fleet.View, now time.Time) { t.host.NoteReservation(now, at, ok) })
	if ok {
		t.reserved = true
		ok = loop.Sleep(ctx, max(0, at.Sub(p.Clock.Now())))
	}
	c.pacingTime += p.Clock.Now().Sub(began)
	if !ok {
		c.abandon(t)
	}
	return ok
}

// release returns the reservation of a request that was not sent.
func (c *call) release(t *target) {
	if t.reserved {
		c.proxy.Pacer.Release(t.id, t.limit.Rate)
		t.reserved = false
	}
}

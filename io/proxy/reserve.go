package proxy

import (
	"context"
	"time"

	"radishwell/core/admit"
	"radishwell/core/fleet"
	"radishwell/io/loop"
)

// awaits tells whether a request stays without a host for now, since the next reservation
// at the best one is far off: it has been sent already and may not be turned away, its
// caller bears the wait, or the model will be at another host before.
func (c *call) awaits(choice fleet.Choice) bool {
	switch {
	case choice.RateLimitDelay <= admit.MostAhead:
		return false
	case c.begun || c.ran > 0 || !choice.Overloaded(c.route.Target):
		return true
	}
	at, ok := c.proxy.ready[c.query.Model]
	return ok && at.Before(c.leavesAt().Add(-answerSlack))
}

// reserve makes a reservation at a host that names a rate limit, and waits for its time.
// It is false where that is too far off or the caller has left; the host is abandoned then.
func (c *call) reserve(ctx context.Context, t *target) bool {
	p := c.proxy
	if !t.limit.Named || p.Pacer == nil {
		return true
	}
	began := p.Clock.Now()
	at, ok := p.Pacer.Reserve(ctx, t.id, t.limit.Rate, began.Add(admit.MostAhead))
	p.Update(func(_ *fleet.View, now time.Time) { t.host.NoteReservation(now, at, ok) })
	if ok {
		t.reserved = true
		ok = loop.Sleep(ctx, max(0, at.Sub(p.Clock.Now())))
	}
	c.paced += p.Clock.Now().Sub(began)
	if !ok {
		c.abandon(t)
	}
	return ok
}

// release gives back the reservation of a request that was not sent.
func (c *call) release(t *target) {
	if t.reserved {
		c.proxy.Pacer.Release(t.id, t.limit.Rate)
		t.reserved = false
	}
}

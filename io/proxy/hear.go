package proxy

import (
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
)

// sending notes what is known of a host as a request is sent there, and returns when.
func (c *call) sending(t *target) time.Time {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.limit = t.host.Limit(); c.limit.Named {
		p.Meter.Limited()
	}
	return p.Clock.Now()
}

// hear takes in what a host says of itself in the head of an answer to a request that was
// sent at a time. It counts whatever becomes of the answer.
func (c *call) hear(t *target, head core.AnswerHead, sent time.Time) {
	if head.ID != c.ask.ID {
		return // it belongs to no request of this connection
	}
	var changed bool
	c.proxy.Update(func(_ *fleet.View, now time.Time) { changed = t.host.Named(sent, now, head.Limit) })
	if changed {
		events.Log(events.UpstreamLimited, "host", t.id, "address", t.address, "limited", head.Limit.Named, "rate", head.Limit.Rate, "request", c.ask.ID)
	}
}

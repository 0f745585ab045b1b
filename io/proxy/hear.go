package proxy

import (
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/meter"
)

// sending notes what is known of a host as a request is sent there, and returns when.
func (c *call) sending(t *target) time.Time {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if c.limit = t.host.Limit(now); c.limit.Named {
		p.Meter.SentOnWord(meter.WordLimited)
	}
	if c.left, c.leaving = t.host.Left(now); c.leaving {
		p.Meter.SentOnWord(meter.WordLeaving)
	}
	if _, c.resting = t.host.Resting(now); c.resting {
		p.Meter.SentOnWord(meter.WordResting)
	}
	return now
}

// hear takes in what a host says of itself in the head of an answer to a request that was
// sent at a time. It counts whatever becomes of the answer.
func (c *call) hear(t *target, head core.AnswerHead, sent time.Time) {
	if head.ID != c.ask.ID {
		return // it belongs to no request of this connection
	}
	p := c.proxy
	var changed, leaves, rests bool
	var limit core.RateLimit
	life := fleet.Life{ID: t.id, Born: t.born}
	p.Update(func(v *fleet.View, now time.Time) {
		changed = t.host.Named(sent, now, head.Limit)
		limit = t.host.Limit(now)
		rests = t.host.Rests(now, head.RestTill)
		leaves = head.Leaving && v.Leaves(now, life)
	})
	if p.Heard != nil && (changed || head.Limit.Named) {
		p.Heard(life, limit)
	}
	if p.HeardLeaving != nil && leaves {
		p.HeardLeaving(life)
	}
	if changed {
		events.Log(events.UpstreamLimited, "host", t.id, "address", t.address, "limited", limit.Named, "rate", limit.Rate, "request", c.ask.ID)
	}
	if rests {
		events.Log(events.UpstreamRests, "host", t.id, "address", t.address, "left", head.RestTill.Sub(p.Clock.Now()).Round(time.Millisecond), "request", c.ask.ID)
	}
	if leaves {
		events.Log(events.UpstreamLeaving, "host", t.id, "address", t.address, "request", c.ask.ID)
	}
}

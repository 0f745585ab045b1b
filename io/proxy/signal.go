package proxy

import (
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/meter"
)

// signals are what is known of a host, by its own answers, as a request is sent there.
type signals struct {
	limit core.RateLimit
	// leaving tells that the host has said it leaves, for leavingFor by then.
	leaving    bool
	leavingFor time.Duration
	// backoff tells that the host wants no requests of this process.
	backoff bool
}

// noteSend keeps, for the log, what is known of a host as a request is sent there, and
// returns when that is.
func (c *call) noteSend(t *target) time.Time {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := signals{limit: t.host.Limit(now)}
	s.leavingFor, s.leaving = t.host.LeavingFor(now)
	_, s.backoff = t.host.BackingOff(now)
	c.known = s
	if s.limit.Named {
		p.Meter.SentDespite(meter.SignalLimited)
	}
	if s.leaving {
		p.Meter.SentDespite(meter.SignalLeaving)
	}
	if s.backoff {
		p.Meter.SentDespite(meter.SignalBackoff)
	}
	return now
}

// mostUnknown bounds the names of unknown fields that are remembered.
const mostUnknown = 64

// firstSeen returns those of the names of unknown fields that were not seen before.
func (p *Proxy) firstSeen(names []string) (out []string) {
	if len(names) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if !p.unknown[name] && len(p.unknown) < mostUnknown {
			p.unknown[name] = true
			out = append(out, name)
		}
	}
	return out
}

// noteSignals takes in what a host says of itself in the head of an answer to a request
// that was sent at a time. It counts whatever becomes of the answer.
func (c *call) noteSignals(t *target, head core.AnswerHead, sent time.Time) {
	if head.ID != c.ask.ID {
		return // it belongs to no request of this connection
	}
	p, life := c.proxy, fleet.Incarnation{ID: t.id, Born: t.born}
	for _, name := range p.firstSeen(head.Unknown) {
		events.Log(events.UpstreamFieldUnknown, "field", name, "host", t.id, "address", t.address, "request", c.ask.ID)
	}
	var limited, leaving, backoff bool
	var limit core.RateLimit
	p.Update(func(v *fleet.View, now time.Time) {
		limited = v.NoteLimit(life, sent, now, head.Limit)
		limit = v.Limit(life, now)
		backoff = v.NoteBackoff(life, now, head.RetryAt)
		leaving = head.Leaving && v.NoteLeaving(life, now)
	})
	if p.HeardLimit != nil && (limited || head.Limit.Named) {
		p.HeardLimit(life, limit)
	}
	if p.HeardLeaving != nil && leaving {
		p.HeardLeaving(life)
	}
	if limited {
		events.Log(events.UpstreamLimited, "host", t.id, "address", t.address, "limited", limit.Named, "rate", limit.Rate, "request", c.ask.ID)
	}
	if backoff {
		left := head.RetryAt.Sub(p.Clock.Now()).Round(time.Millisecond)
		events.Log(events.UpstreamBackoff, "host", t.id, "address", t.address, "left", left, "request", c.ask.ID)
	}
	if leaving {
		events.Log(events.UpstreamLeaving, "host", t.id, "address", t.address, "request", c.ask.ID)
	}
}

package proxy

import (
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/meter"
)

// signals is what this entry knows, when it sends a request to a host, of what the host
// has stated about itself.
type signals struct {
	limit core.RateLimit
	// leaving is set if the host states that it is leaving, and leavingFor is the time
	// since it first did.
	leaving    bool
	leavingFor time.Duration
	// backoff is set if the host has asked this process to send no requests for now.
	backoff bool
}

// recordSend records what a host has stated about itself when a request is sent there,
// for the log and the metrics. It returns the current time.
func (c *call) recordSend(t *target) time.Time {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	s := signals{limit: t.host.Limit(now)}
	s.leavingFor, s.leaving = t.host.LeavingFor(now)
	_, s.backoff = t.host.BackingOff(now)
	c.signals = s
	if s.limit.Limited {
		p.Meter.SentDespiteSignal(meter.SignalLimited)
	}
	if s.leaving {
		p.Meter.SentDespiteSignal(meter.SignalLeaving)
	}
	if s.backoff {
		p.Meter.SentDespiteSignal(meter.SignalBackoff)
	}
	return now
}

// maxUnknownFields bounds the names of unknown fields that are remembered.
const maxUnknownFields = 64

// newFields returns the names of unknown fields that were not seen before, and remembers
// them.
func (p *Proxy) newFields(names []string) (out []string) {
	if len(names) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if !p.unknownFields[name] && len(p.unknownFields) < maxUnknownFields {
			p.unknownFields[name] = true
			out = append(out, name)
		}
	}
	return out
}

// applySignals applies what a host states about itself in the header of an answer to a
// request sent at the given time. It does so whether the answer can be used or not.
func (c *call) applySignals(t *target, head core.AnswerHead, sent time.Time) {
	if head.ID != c.ask.ID {
		return // the answer belongs to another request
	}
	p, inc := c.proxy, t.incarnation()
	for _, name := range p.newFields(head.UnknownFields) {
		events.Log(events.UpstreamFieldUnknown, "field", name, "host", t.id, "address", t.address, "request", c.ask.ID)
	}
	var limited, leaving, backoff bool
	var limit core.RateLimit
	p.Update(func(v *fleet.View, now time.Time) {
		t.host.NoteAnswer(sent)
		limited = v.NoteLimit(inc, sent, now, head.Limit)
		limit = v.Limit(inc, now)
		backoff = v.NoteBackoff(inc, now, head.RetryAt)
		leaving = head.Leaving && v.NoteLeaving(inc, now)
	})
	if p.OnRateLimit != nil && (limited || head.Limit.Limited) {
		p.OnRateLimit(inc, limit)
	}
	if p.OnLeaving != nil && leaving {
		p.OnLeaving(inc)
	}
	if limited {
		events.Log(events.UpstreamLimited, "host", t.id, "address", t.address, "limited", limit.Limited, "rate", limit.Rate, "request", c.ask.ID)
	}
	if backoff {
		left := head.RetryAt.Sub(p.Clock.Now()).Round(time.Millisecond)
		events.Log(events.UpstreamBackoff, "host", t.id, "address", t.address, "left", left, "request", c.ask.ID)
	}
	if leaving {
		events.Log(events.UpstreamLeaving, "host", t.id, "address", t.address, "request", c.ask.ID)
	}
}

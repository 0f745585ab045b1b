package proxy

import (
	"time"

	"radishwell/io/events"
)

// mayRetry reports whether the retry budget allows a further send of the request. The caller holds
// the proxy's mu.
func (c *call) mayRetry(now time.Time) bool {
	p := c.proxy
	p.updateSpare(now)
	if p.window(c.service.Name).Remaining(now) >= 1 {
		return true
	}
	c.noteRetry(now, false)
	return false
}

// takeRetry takes a further send of the request from the retry budget and reports whether there was
// one.
func (c *call) takeRetry() bool {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if !c.mayRetry(now) {
		return false
	}
	c.noteRetry(now, true)
	c.retrying = p.window(c.service.Name).Take(now)
	return c.retrying
}

// endRetry ends the retry that the attempt was charged for, if it was: the attempt was not sent, or
// has an answer, or neither is known.
func (c *call) endRetry(sent, answered bool) {
	if !c.retrying {
		return
	}
	c.retrying = false
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now, w := p.Clock.Now(), p.window(c.service.Name)
	switch {
	case !sent:
		w.Return(now)
	case answered:
		w.Settle(now)
	default:
		w.Lose(now)
	}
}

// noteRetry logs and counts a decision on a further send of the request, with what the budget is made
// of. The caller holds the proxy's mu.
func (c *call) noteRetry(now time.Time, made bool) {
	p := c.proxy
	p.Meter.Retry(made)
	event := events.RequestRepeated
	if !made {
		event = events.RepeatRefused
	}
	f := p.window(c.service.Name).Figures(now)
	events.Log(
		event, "request", c.ask.ID, "service", c.service.Name, "sends", c.sends, "last-host", c.lastHost, "attempts", f.Attempts,
		"retries", f.Retries, "spare", round(f.Spare), "process-age", now.Sub(p.startedAt).Round(time.Millisecond),
	)
}

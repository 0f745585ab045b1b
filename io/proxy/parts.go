package proxy

import (
	"time"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/io/events"
)

const (
	// maxParts bounds the parts of prompts that were in crashes, and maxServedParts the others that
	// are remembered as served.
	maxParts, maxServedParts = 1024, 16384
	// lateTime is how long an answer has to go on after its first event for a crash to count as one
	// under an answer in progress.
	lateTime = 500 * time.Millisecond
)

// refuseParts refuses a request that has a part in its prompt that crashes upstreams. The caller
// holds the proxy's mu.
func (c *call) refuseParts(now time.Time) *core.Refusal {
	if !c.hasRefusedParts(now) {
		return nil
	}
	if c.ran > 0 {
		return c.lost()
	}
	verdict := c.proxy.parts.Check(now, c.shared)
	events.Log(
		events.PartRefused, "request", c.ask.ID, "parts", verdict.Parts, "final", verdict.Final,
		"crashes", verdict.Crashes, "tries", verdict.Tries, "proven", verdict.Proven,
	)
	if verdict.Final {
		return core.Refuse(core.CodeQuarantined, "a part of the prompt has crashed several upstreams")
	}
	return core.RefuseUntil(core.CodeOverload, "a part of the prompt may crash upstreams", c.retryAt(verdict.RetryAt.Sub(now)))
}

// hasRefusedParts reports whether the request may not be sent, not even in a trial, since a part of
// its prompt crashes upstreams. The caller holds the proxy's mu.
func (c *call) hasRefusedParts(now time.Time) bool {
	if len(c.run.parts) > 0 {
		return false // the trial was granted
	}
	verdict := c.proxy.parts.Check(now, c.shared)
	return verdict.Refuses()
}

// noteProgress records that a stream has gone on for some time.
func (c *call) noteProgress(t *target) {
	if t.late || c.lastEvent.Sub(t.startedAt) < lateTime {
		return
	}
	t.late = true
	if !c.run.late && len(c.run.parts) == 0 {
		c.endTrial(true) // it shows only whether upstreams crash as an answer begins
	}
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts.NoteBegun(t.startedAt, c.shared)
}

// notePartsAnswered records that the request was answered whole.
func (c *call) notePartsAnswered(t *target) {
	p := c.proxy
	p.mu.Lock()
	now, began := p.Clock.Now(), t.startedAt
	if began.IsZero() {
		began = now
	}
	c.run.shows = showsWhole
	news := p.parts.NoteAnswered(now, began, c.shared, c.run.refused)
	if news {
		p.wake()
	}
	p.mu.Unlock()
	if news {
		p.sendStrikes()
	}
}

// Parts returns the records of parts of prompts to send to another entry with the next message.
func (p *Proxy) Parts() []parts.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts.Next(p.Clock.Now())
}

// MergeParts merges records of parts of prompts from other entries and reports whether any was
// new.
func (p *Proxy) MergeParts(list []parts.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.parts.Merge(p.Clock.Now(), list) {
		return false
	}
	p.wake() // waiting requests may have to be refused now
	p.withdrawParts()
	return true
}

// RefusedParts returns the records of the refused parts of prompts.
func (p *Proxy) RefusedParts() []parts.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts.Refused(p.Clock.Now())
}

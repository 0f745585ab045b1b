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
	// provenTime is how long a stream has to go on after its first event to speak for the parts of
	// its prompt. An upstream that crashes because of a part does so as it begins to write.
	provenTime = 500 * time.Millisecond
)

// refuseParts refuses a request that has a part in its prompt that crashes upstreams. The caller
// holds the proxy's mu.
func (c *call) refuseParts(now time.Time) *core.Refusal {
	p := c.proxy
	if c.retriesParts {
		return nil
	}
	verdict := p.parts.Check(now, c.shared)
	switch {
	case !verdict.Refuses():
		return nil
	case c.sends == 0 && p.parts.Try(now, c.shared):
		c.retriesParts = true
		events.Log(events.PartTried, "request", c.ask.ID, "parts", verdict.Parts)
		return nil
	case c.ran > 0:
		return c.lost()
	}
	events.Log(events.PartRefused, "request", c.ask.ID, "parts", verdict.Parts, "final", verdict.Final)
	if verdict.Final {
		return core.Refuse(core.CodeQuarantined, "a part of the prompt has crashed several upstreams")
	}
	return core.RefuseUntil(core.CodeOverload, "a part of the prompt may crash upstreams", c.retryAt(verdict.RetryAt.Sub(now)))
}

// suspectParts returns the parts that may have crashed the host of an attempt that broke off: none
// if the attempt had gone on for a time.
func (c *call) suspectParts(t *target) []parts.Name {
	if t.proven {
		return nil
	}
	return c.shared
}

// checkProven records that the parts of the prompt crash no upstream, once a stream has gone on
// for long enough.
func (c *call) checkProven(t *target) {
	if t.proven || c.lastEvent.Sub(t.startedAt) < provenTime {
		return
	}
	c.notePartsServed(t)
}

// notePartsServed records that the parts of the prompt crash no upstream.
func (c *call) notePartsServed(t *target) {
	if t.proven {
		return
	}
	t.proven = true
	c.endEarlyTrial()
	p := c.proxy
	p.mu.Lock()
	now, began := p.Clock.Now(), t.startedAt
	if began.IsZero() {
		began = now
	}
	news := p.parts.NoteServed(now, began, c.shared)
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
	return true
}

// RefusedParts returns the records of the refused parts of prompts with which no request is known
// to have been served.
func (p *Proxy) RefusedParts() []parts.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts.Refused(p.Clock.Now())
}

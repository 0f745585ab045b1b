package proxy

import (
	"radishwell/core/fleet"
	"radishwell/core/length"
)

// foreseeLength sets the foreseen length of the answer.
func (c *call) foreseeLength() {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.lengths.Foresee(c.lengthSource(), c.ask.Expected, c.ask.Answer)
	c.query.Answer, c.query.LongAnswer = f.Usual, f.High
}

// noteLength records the length of a stream that a host has served whole, if its agent measures
// how many tokens an event has. The caller holds the proxy's mu.
func (c *call) noteLength(h *fleet.Host) {
	tokens := c.events * h.Report.Pace.EventTokens
	if tokens == 0 || c.ask.Answer <= 0 {
		return
	}
	tokens = min(tokens, c.ask.Answer)
	c.proxy.lengths.Note(c.lengthSource(), tokens, c.ask.Expected)
	c.proxy.Meter.AnswerLength(c.query.Answer, tokens)
}

func (c *call) lengthSource() length.Source {
	s := length.Source{Route: c.route.Name, Model: c.query.Model}
	if c.customer != nil {
		s.Customer = c.customer.Name
	}
	return s
}

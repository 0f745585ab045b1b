package proxy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
	"radishwell/io/events"
)

// retryBudget is this process's part of the retry budget of a service, with what others lent it.
type retryBudget struct {
	window retry.Window
	loans  retry.Loans
	// asking is closed once the ask for a loan that is in progress has ended, nil if there is none.
	asking chan struct{}
}

// take takes one retry and reports whether there was one, and whether it is from the window, where it
// is to be ended.
func (b *retryBudget) take(now time.Time) (ok, own bool) {
	if b.window.Take(now) {
		return true, true
	}
	return b.loans.Take(now), false
}

// budget returns the retry budget of a service. The caller holds mu.
func (p *Proxy) budget(s core.ServiceName) *retryBudget {
	b := p.retries[s]
	if b == nil {
		b = &retryBudget{window: retry.Window{Ratio: p.RetryRatio, Span: p.RetrySpan, Spare: &p.spare}}
		p.retries[s] = b
	}
	return b
}

// LendRetries takes up to n retries of a service from this process's budget for another entry, and
// returns how many.
func (p *Proxy) LendRetries(s core.ServiceName, n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.updateSpare(now)
	return p.budget(s).window.Lend(now, n)
}

// mayRetry reports whether a further send of the request may be allowed: the retry budget has one, or
// another entry may lend one. The caller holds the proxy's mu.
func (c *call) mayRetry(now time.Time) bool {
	p := c.proxy
	p.updateSpare(now)
	b := p.budget(c.service.Name)
	if b.window.Remaining(now) >= 1 || b.loans.Left(now) > 0 || p.Lenders != nil && (b.asking != nil || b.loans.Ask(now) > 0) {
		return true
	}
	c.noteRetry(now, b, false)
	return false
}

// retriesLeft returns how many further sends of a service's requests are allowed now. If there are none
// but another entry may lend some, it is one, with which that entry is asked. The caller holds mu.
func (p *Proxy) retriesLeft(now time.Time, s core.ServiceName) int {
	p.updateSpare(now)
	b := p.budget(s)
	left := int(b.window.Remaining(now)) + b.loans.Left(now)
	if left <= 0 && p.Lenders != nil && b.asking == nil && b.loans.Ask(now) > 0 {
		return 1
	}
	return left
}

// takeRetry takes a further send of the request from the retry budget, or from a loan, and reports
// whether there was one.
func (c *call) takeRetry(ctx context.Context) bool {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budget(c.service.Name)
	p.updateSpare(p.Clock.Now())
	ok, own := b.take(p.Clock.Now())
	if !ok && p.Lenders != nil {
		p.borrow(ctx, c.service.Name, b)
		ok, own = b.take(p.Clock.Now())
	}
	c.retrying = own
	c.noteRetry(p.Clock.Now(), b, ok)
	return ok
}

// borrow asks another entry for retries, or waits for the ask that is in progress. The caller holds mu,
// which is released meanwhile.
func (p *Proxy) borrow(ctx context.Context, s core.ServiceName, b *retryBudget) {
	asked := p.Clock.Now()
	if asking := b.asking; asking != nil {
		p.mu.Unlock()
		defer p.mu.Lock()
		select {
		case <-asking:
		case <-ctx.Done():
		}
		return
	}
	n := b.loans.Ask(asked)
	if n == 0 {
		return
	}
	asking := make(chan struct{})
	b.asking = asking
	p.mu.Unlock()
	lent := p.Lenders.Borrow(ctx, s, n)
	p.mu.Lock()
	b.asking = nil
	b.loans.Add(p.Clock.Now(), lent, asked.Add(retry.LoanTime(p.RetrySpan)))
	close(asking)
	p.Meter.RetriesBorrowed(lent)
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
	now, w := p.Clock.Now(), &p.budget(c.service.Name).window
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
func (c *call) noteRetry(now time.Time, b *retryBudget, made bool) {
	p := c.proxy
	p.Meter.Retry(made)
	event := events.RequestRepeated
	if !made {
		event = events.RepeatRefused
	}
	f := b.window.Figures(now)
	events.Log(
		event, "request", c.ask.ID, "service", c.service.Name, "sends", c.sends, "last-host", c.lastHost, "attempts", f.Attempts,
		"retries", f.Retries, "spare", round(f.Spare), "lent", made && !c.retrying, "process-age", now.Sub(p.startedAt).Round(time.Millisecond),
	)
}

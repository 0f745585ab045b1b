package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/retry"
	"radishwell/io/events"
)

// retryBudget is this process's part of the retry budget of a service, with what others lent it.
type retryBudget struct {
	window retry.Window
	loans  retry.Loans
	// held are the retries whose hosts may not have read them.
	held retry.Held
	// asking is closed once the ask for a loan that is in progress has ended, nil if there is none.
	asking chan struct{}
}

// retrySource is whose part of the retry budget a send of a request is taken from.
type retrySource uint8

const (
	noRetry retrySource = iota
	// ownRetry: this process's part of the retry budget, where the retry is to be ended.
	ownRetry
	// lentRetry: that of another process, which counts it for a time.
	lentRetry
)

// take takes one retry, and returns what it was taken from, if there was one.
func (b *retryBudget) take(now time.Time) retrySource {
	switch {
	case b.window.Take(now):
		return ownRetry
	case b.loans.Take(now):
		return lentRetry
	}
	return noRetry
}

// sendBy returns the time by which a retry that is taken now has to be sent, so that it arrives in the
// windows in which it counts.
func (b *retryBudget) sendBy(now time.Time, from retrySource) time.Time {
	if from == lentRetry {
		return b.loans.Until()
	}
	return now.Add(retry.LoanTime(b.window.Span))
}

// budget returns the retry budget of a service, without retries whose hosts have read them by now. The
// caller holds mu.
func (p *Proxy) budget(s core.ServiceName) *retryBudget {
	b := p.retries[s]
	if b == nil {
		b = &retryBudget{window: retry.Window{Ratio: p.RetryRatio, Span: p.RetrySpan, Spare: &p.spare}}
		p.retries[s] = b
	}
	p.release(s, b)
	return b
}

// release ends the held retries of a service's budget whose hosts are known to have run. The caller holds
// mu.
func (p *Proxy) release(s core.ServiceName, b *retryBudget) {
	now := p.Clock.Now()
	signs := map[core.HostName]fleet.Sign{}
	released := b.held.Release(now, &b.window, func(u retry.Unread) bool {
		sign := p.view.SignSince(fleet.Incarnation{ID: u.Host, Born: u.Born}, u.Ended)
		if sign != fleet.NoSign {
			signs[u.Host] = sign
		}
		return sign != fleet.NoSign
	})
	if released > 0 {
		events.Log(events.RetriesReleased, "service", s, "released", released, "held", b.held.Len(), "signs", fmt.Sprint(signs))
	}
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
	c.retry = b.take(p.Clock.Now())
	if c.retry == noRetry && p.Lenders != nil {
		p.borrow(ctx, c.service.Name, b)
		c.retry = b.take(p.Clock.Now())
	}
	c.retryBy = b.sendBy(p.Clock.Now(), c.retry)
	c.noteRetry(p.Clock.Now(), b, c.retry != noRetry)
	return c.retry != noRetry
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

// sendEnd is how a send of a request has ended, as far as its retry is concerned.
type sendEnd uint8

const (
	// notSent: the host has received nothing.
	notSent sendEnd = iota
	// answered: the host has answered the request.
	answered
	// closed: the host, or its system, has ended the connection, or has sent another answer.
	closed
	// unread: the host may not have read the request yet.
	unread
)

// endOfFailed returns how a send without an answer has ended. A connection that the host has ended holds
// nothing that it may read later.
func endOfFailed(sent bool, err error) sendEnd {
	switch {
	case !sent:
		return notSent
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return closed
	}
	return unread
}

// endSend ends what a send to a host was charged for. If earlier sends may be unread, one of them may
// arrive as the request's last in place of this one, so a retry is held for each.
func (c *call) endSend(t *target, end sendEnd) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now, b := p.Clock.Now(), p.budget(c.service.Name)
	if end == unread {
		c.unread = append(c.unread, retry.Unread{Host: t.id, Born: t.incarnation().Born, Ended: now})
		events.Log(events.SendUnread, "request", c.ask.ID, "service", c.service.Name, "host", t.id, "sends", c.sends, "sent-ago", now.Sub(c.sentAt).Round(time.Millisecond))
	}
	from := c.retry
	c.retry = noRetry
	switch {
	case from == noRetry:
	case end != notSent && c.held < len(c.unread):
		if from == lentRetry {
			b.window.Charge()
		}
		b.held.Hold(slices.Clone(c.unread))
		c.held++
	case from == lentRetry: // the lender counts it
	case end == notSent:
		b.window.Return(now)
	case end == answered:
		b.window.Settle(now)
	default:
		b.window.Lose(now)
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
		"retries", f.Retries, "in-flight", f.InFlight, "held", b.held.Len(), "spare", round(f.Spare), "lent", c.retry == lentRetry, "process-age", now.Sub(p.startedAt).Round(time.Millisecond),
	)
}

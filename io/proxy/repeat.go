package proxy

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"radishwell/core"
	"radishwell/core/retry"
	"radishwell/io/events"
)

// retryBudget is this process's part of the retry budget of a service, with what others lent it.
type retryBudget struct {
	window retry.Window
	loans  retry.Loans
	// spare is this process's part of the spare retries of the service, as gate lets it be used.
	spare retry.Spare
	gate  retry.Gate
	// held are the retries whose hosts may not have read them, and unread has these hosts.
	held   retry.Held
	unread unreadHosts
	// opening is closed once the probes that are to open the gate have ended, nil if there are none.
	opening chan struct{}
	// asking is closed once the ask for a loan that is in progress has ended, nil if there is none.
	asking chan struct{}
	// latencies are those of the service's plain answers.
	latencies retry.Latencies
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
	case b.loans.Left(now) > 0 && b.window.Charge(now):
		b.loans.Take(now)
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
		b = &retryBudget{spare: retry.Spare{Span: p.RetrySpan, Initial: p.RetrySpare}, unread: unreadHosts{}}
		b.window = retry.Window{Ratio: p.RetryRatio, Span: p.RetrySpan, Spare: &b.spare}
		p.retries[s] = b
	}
	p.release(s, b)
	return b
}

// updateSpare updates this process's part of the spare retries of a service. The caller holds mu.
func (p *Proxy) updateSpare(now time.Time, s core.ServiceName) {
	if p.SpareRetries == nil {
		return
	}
	b := p.budget(s)
	b.spare.Set(now, b.gate.Part(now, p.SpareRetries(now), func(since time.Time) bool { return p.haveRun(s, since) }))
}

// LendRetries takes up to n retries of a service from this process's budget for another entry, and
// returns how many.
func (p *Proxy) LendRetries(s core.ServiceName, n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.updateSpare(now, s)
	return p.budget(s).window.Lend(now, n)
}

// mayRetry reports whether a further send of the request may be allowed: the retry budget has one, or
// another entry may lend one. The caller holds the proxy's mu.
func (c *call) mayRetry(now time.Time) bool {
	p := c.proxy
	p.updateSpare(now, c.service.Name)
	b := p.budget(c.service.Name)
	if b.window.Remaining(now) >= 1 || b.window.InFlightLeft(now) >= 1 && b.mayBorrow(now, p.Lenders) || p.mayOpen(now, c.service.Name, b) {
		return true
	}
	c.noteRetry(now, b, false)
	return false
}

// retriesLeft returns how many further sends of a service's requests are allowed now. If there are none
// but another entry may lend some, it is one, with which that entry is asked. The caller holds mu.
func (p *Proxy) retriesLeft(now time.Time, s core.ServiceName) int {
	p.updateSpare(now, s)
	b := p.budget(s)
	left := int(b.window.Remaining(now)) + b.loans.Left(now)
	if left <= 0 && p.Lenders != nil && b.asking == nil && b.loans.Ask(now) > 0 {
		left = 1
	}
	return min(left, int(b.window.InFlightLeft(now)))
}

// mayBorrow reports whether others have lent retries, or may.
func (b *retryBudget) mayBorrow(now time.Time, from core.RetryLenders) bool {
	return b.loans.Left(now) > 0 || from != nil && (b.asking != nil || b.loans.Ask(now) > 0)
}

// takeRetry takes a further send of the request from the retry budget, or from a loan, and reports
// whether there was one.
func (c *call) takeRetry(ctx context.Context) bool {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budget(c.service.Name)
	p.updateSpare(p.Clock.Now(), c.service.Name)
	p.openGate(ctx, c.service.Name, b)
	c.retry = b.take(p.Clock.Now())
	if c.retry == noRetry && p.Lenders != nil && b.window.InFlightLeft(p.Clock.Now()) >= 1 {
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
		p.await(ctx, asking)
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

// await waits until something is done or the context ends. The caller holds mu, which is released meanwhile.
func (p *Proxy) await(ctx context.Context, done <-chan struct{}) {
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sendEnd is how a send of a request has ended, as far as its retry is concerned.
type sendEnd uint8

const (
	// notSent: the host has received nothing.
	notSent sendEnd = iota
	// answered: the host has answered the request.
	answered
	// closed: the host, or its system, has ended the connection, or has sent something else.
	closed
	// unread: the host may not have read the request yet.
	unread
)

// endOfFailed returns how a send without an answer has ended. A connection that the host has ended, or on which
// it has sent anything, holds nothing that it may read later.
func endOfFailed(s sendState, err error) sendEnd {
	switch {
	case !s.sent:
		return notSent
	case s.heard, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return closed
	}
	return unread
}

// endSend ends what a send to a host was charged for. If earlier sends may be unread, one of them may
// arrive as the request's last in place of this one, so a retry is held for each.
func (c *call) endSend(x *exchange, end sendEnd) {
	p, t := c.proxy, x.target
	p.mu.Lock()
	defer p.mu.Unlock()
	now, b := p.Clock.Now(), p.budget(c.service.Name)
	if end == unread {
		c.unread = append(c.unread, retry.Unread{Host: t.id, Born: t.incarnation().Born, Address: t.address, Ended: now})
		b.unread[t.incarnation()] = t.host
		events.Log(events.SendUnread, "request", c.ask.ID, "service", c.service.Name, "host", t.id, "sends", c.sends, "sent-ago", now.Sub(t.sentAt).Round(time.Millisecond))
	}
	from := x.retry
	x.retry = noRetry
	switch {
	case from == noRetry:
	case end == notSent:
		b.window.Return(now)
	case c.held < len(c.unread):
		b.held.Hold(slices.Clone(c.unread))
		c.held++
	case from == lentRetry:
		b.window.EndLent(now, x.retryBy)
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
		"sent-unknown", f.Unknown, "retries", f.Retries, "in-flight", f.InFlight, "held", b.held.Len(), "spare", round(f.Spare), "lent", c.retry == lentRetry, "process-age", now.Sub(p.startedAt).Round(time.Millisecond),
	)
}

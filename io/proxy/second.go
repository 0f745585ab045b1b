package proxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"radishwell/core/fleet"
	"radishwell/core/retry"
	"radishwell/core/rtable"
)

// secondLooks is the number of times that a second attempt is considered from half of a request's time on.
const secondLooks = 10

// mayHaveSecond reports whether the request may be sent to a second host while the first has not answered. A request
// that runs in a trial may not: it would crash both.
func (c *call) mayHaveSecond() bool {
	return c.route.Kind == rtable.Repeatable && c.ran+1 < c.route.MaxHosts && len(c.run.keys) == 0
}

// attemptTwice sends the request to a host, and to a second one if that is likely to answer sooner than the first and
// the retry budget allows it. Neither is given up before the other has answered. It returns the host whose answer, or
// failure, came last.
func (c *call) attemptTwice(ctx context.Context, t *target) (*target, outcome) {
	ends := make(chan *exchange, 2)
	first := c.launch(ctx, t, ends)
	running := []*exchange{first}
	left := c.deadline.Sub(first.target.sentAt)
	timer := time.NewTimer(left / 2)
	defer timer.Stop()
	failed := false
	for {
		select {
		case x := <-ends:
			running = slices.DeleteFunc(running, func(o *exchange) bool { return o == x })
			if c.isAnswer(x) {
				c.endOthers(x, running, ends)
				return x.target, c.finish(ctx, x)
			}
			o := c.finish(ctx, x)
			x.cancel()
			if o.done {
				c.endOthers(x, running, ends)
			}
			if o.done || len(running) == 0 {
				return x.target, o
			}
			c.query.Tried = append(c.query.Tried, x.target.id)
			if c.failure != nil {
				failed = true
				timer.Reset(c.attemptDeadline().Sub(c.proxy.Clock.Now()))
			}
		case <-timer.C:
			if failed {
				running[0].cancel() // the failure is the answer
				continue
			}
			timer.Reset(left / 2 / secondLooks)
			if !c.wantsSecond(ctx, first) {
				continue
			}
			second, refused := c.startSecond(ctx, first, ends)
			if second != nil {
				running = append(running, second)
			}
			if second != nil || refused {
				timer.Stop()
			}
		}
	}
}

// launch sends the request to a host, and has the exchange sent on ends once it has an answer or has failed.
func (c *call) launch(ctx context.Context, t *target, ends chan<- *exchange) *exchange {
	x := c.begin(t)
	ctx, x.cancel = context.WithCancel(ctx)
	go func() {
		c.exchange(ctx, x)
		if x.err == nil {
			x.ahead = c.readAhead(x.resp.Body)
			x.endedAt = c.proxy.Clock.Now()
		}
		ends <- x
	}()
	return x
}

// isAnswer reports whether an exchange has an answer that is forwarded whatever others bring.
func (c *call) isAnswer(x *exchange) bool {
	return x.err == nil && x.ahead.err == nil && x.resp.StatusCode < http.StatusInternalServerError &&
		!x.rejected() && c.check(x.resp, x.head) == nil
}

// endOthers cancels the exchanges that run, since another host has answered.
func (c *call) endOthers(winner *exchange, running []*exchange, ends <-chan *exchange) {
	for _, x := range running {
		x.cancel()
	}
	for range running {
		x := <-ends
		if x.state.sent {
			c.countSend(x)
		}
		if x.err != nil {
			c.endFailed(x)
		} else {
			c.ran++
			_ = x.resp.Body.Close()
			c.endSend(x, answered)
		}
		c.recordEnd(x.target, func(h *fleet.Host, now time.Time) {
			if x.target.sentAt.Before(winner.target.sentAt) {
				h.NoteFailure(now)
			}
		})
	}
}

// wantsSecond reports whether a second attempt is likely to be answered sooner than the first. While too little is
// known of the service's latencies, it is so if the first host does not respond to a probe, and after three quarters of
// the time: a host may respond to probes alone.
func (c *call) wantsSecond(ctx context.Context, first *exchange) bool {
	p, t := c.proxy, first.target
	p.mu.Lock()
	now := p.Clock.Now()
	waited, left := now.Sub(t.sentAt), c.deadline.Sub(now)
	hope := p.budget(c.service.Name).latencies.Second(waited, left)
	if hope != retry.Unknown || p.Managed == nil || waited >= 3*left {
		p.mu.Unlock()
		return hope != retry.Slower
	}
	asks := t.host.StartProbe(now)
	p.mu.Unlock()
	if asks {
		r := probe{host: t.host, incarnation: t.incarnation(), address: t.address, avoid: true}
		r.result = p.probe(ctx, r)
		p.endProbe(r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.host.IsUnresponsive(p.Clock.Now())
}

// startSecond sends the request to a second host, nil if none has room now. refused is set if the retry budget has no
// second attempt.
func (c *call) startSecond(ctx context.Context, first *exchange, ends chan *exchange) (second *exchange, refused bool) {
	t, refused := c.chooseSecond(first)
	if t == nil || !c.reserve(ctx, t) {
		return nil, refused
	}
	if !c.takeRetry(ctx) {
		c.abandon(t)
		return nil, true
	}
	if len(ends) > 0 || ctx.Err() != nil {
		c.endSend(&exchange{target: t, retry: c.retry, retryBy: c.retryBy}, notSent)
		c.retry = noRetry
		c.abandon(t)
		return nil, false
	}
	return c.launch(ctx, t, ends), false
}

// chooseSecond returns the host for a second attempt, nil if there is none. refused is as in startSecond.
func (c *call) chooseSecond(first *exchange) (t *target, refused bool) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	query := c.query
	query.Tried = append(slices.Clone(query.Tried), first.target.id)
	choice := p.view.Pick(now, &query)
	if choice.Host == nil || choice.Fetch || choice.RateLimitDelay > 0 || !choice.Host.HasRoom(now) || c.isQuarantined(now) || len(c.suspicion(now).keys) > 0 {
		return nil, false
	}
	c.countSend(first)
	c.recordChoice(now, choice)
	t, _, refusal := c.start(now, choice)
	return t, refusal != nil
}

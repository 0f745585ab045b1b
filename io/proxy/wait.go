package proxy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/fleet"
)

const (
	// unorderedTime is how long nobody who can have models loaded may be unknown before
	// requests for models that no host holds are refused: agents that restart are back
	// within it.
	unorderedTime = 3 * time.Second
	// unorderedBack is after how long their callers are told to come back.
	unorderedBack = 2 * time.Second
	// replacedBack is after how long callers are told to come back whose service has only
	// hosts that leave: others are listed by then if they have started.
	replacedBack = time.Second
)

// acquire returns the host that the request goes to next. It waits while no host
// holds the model, and refuses as soon as none will in time.
func (c *call) acquire(ctx context.Context) (*target, *core.Refusal) {
	waits := false
	began, fetched := c.proxy.Clock.Now(), c.fetched
	defer func() {
		if waits {
			c.setWaiting(-1)
			c.waited += c.proxy.Clock.Now().Sub(began) - (c.fetched - fetched)
		}
	}()
	for {
		t, fetch, changed, refusal := c.choose()
		if refusal != nil {
			return nil, refusal
		}
		if t != nil {
			if c.reserve(ctx, t) && c.hasAdapter(ctx, t, fetch) && c.stillTakes(t) {
				return t, c.chargeAgain(ctx, t)
			}
			if ctx.Err() != nil {
				return nil, c.over(ctx)
			}
			continue
		}
		if !waits {
			waits = true
			c.refund()
			c.setWaiting(1)
		}
		if refusal := c.rest(ctx, changed); refusal != nil {
			return nil, refusal
		}
	}
}

// hasAdapter has the adapter loaded where the host lacks it. A host where that
// fails is not tried again before the others.
func (c *call) hasAdapter(ctx context.Context, t *target, fetch bool) bool {
	if !fetch {
		if c.query.Adapter != "" {
			c.proxy.Adapters.Used(t.id, c.query.Model, c.query.Adapter)
		}
		return true
	}
	began := c.proxy.Clock.Now()
	err := c.proxy.Adapters.Fetch(ctx, t.id, c.query.Model, c.query.Adapter)
	c.fetched += c.proxy.Clock.Now().Sub(began)
	if err == nil {
		return true
	}
	c.last = err
	c.abandon(t)
	c.query.Tried = append(c.query.Tried, t.id)
	return false
}

// stillTakes tells whether the host that was chosen takes work after the time that was
// spent on the request since. Where it does not, it is abandoned.
func (c *call) stillTakes(t *target) bool {
	p := c.proxy
	p.mu.Lock()
	now := p.Clock.Now()
	_, backoff := t.host.BackingOff(now)
	ok := t.host.IsAvailable(now) && !t.host.IsLeaving(now) && !backoff
	p.mu.Unlock()
	if !ok {
		c.abandon(t)
	}
	return ok
}

// choose picks a host and notes the request there; nil where none can take it.
func (c *call) choose() (t *target, fetch bool, changed chan struct{}, refusal *core.Refusal) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	choice := p.view.Pick(now, &c.query)
	if c.failure != nil && (choice.Host == nil || choice.RateLimitDelay > admit.MostAhead) {
		return nil, false, nil, c.lost() // the failure is the answer
	}
	if choice.Host == nil {
		return nil, false, p.changed, c.hopeless(now, choice)
	}
	c.foresee(now, choice)
	if c.awaits(choice) {
		return nil, false, p.changed, nil
	}
	if refusal := c.overloaded(choice); refusal != nil {
		return nil, false, nil, refusal
	}
	if c.sends > 0 && !p.window(c.service.Name).Draw(now) {
		p.Meter.Retry(false)
		return nil, false, nil, c.giveUp()
	}
	h := choice.Host
	t = &target{id: h.ID, born: h.Born, address: h.Address, host: h, unread: h.PrefillTokens(now, &c.query), limit: h.Limit(now)}
	h.NoteSent(now, &c.query)
	if c.query.Model != "" {
		p.view.NotePrompt(t.unread)
	}
	return t, choice.Fetch, nil, nil
}

// foresee keeps, for the log, what a choice rested on.
func (c *call) foresee(now time.Time, choice fleet.Choice) {
	h := choice.Host
	c.best, c.cost, c.foreseen, c.reportAge = h.ID, choice.Cost, choice.Wait, now.Sub(h.Report.Taken)
	if h.Report.Taken.IsZero() {
		c.reportAge = -1 // its agent was never heard of, or it has none
	}
}

// overloaded refuses a request that comes upon more work than its hosts can do in
// time. One of which a host may have run a part already is not turned away.
func (c *call) overloaded(choice fleet.Choice) *core.Refusal {
	if c.query.Model == "" && choice.RateLimitDelay == 0 || c.begun || c.ran > 0 || !choice.Overloaded(c.route.Target) {
		return nil
	}
	if choice.RateLimitDelay > 0 {
		return core.RefuseUntil(core.CodeOverload, "the hosts take no more requests a second", c.back(choice.Wait))
	}
	return core.RefuseUntil(core.CodeOverload, "the model's hosts have more work than they can do in time", c.back(choice.Wait))
}

// hopeless refuses a request whose model will not be there before its caller
// leaves, which callers of silent streams do long before their deadline. Told at
// once when to come back, they find the model there. The caller holds the proxy's
// mu.
func (c *call) hopeless(now time.Time, choice fleet.Choice) *core.Refusal {
	if c.query.Model == "" && choice.Leaving && !choice.Listed && c.ran == 0 {
		return core.RefuseUntil(core.CodeNoHost, "all hosts of the service leave", c.back(replacedBack))
	}
	at, ok := c.proxy.ready[c.query.Model]
	if retry := choice.RetryAt; !retry.IsZero() && (!ok || retry.Before(at)) {
		at, ok = retry, true
		if c.ran == 0 && choice.AllBackingOff(now, c.route.Target) {
			return core.RefuseUntil(core.CodeOverload, "the hosts want no requests for now", c.back(at.Sub(now)))
		}
	}
	if !ok && c.unordered(now) {
		return core.RefuseUntil(core.CodeWaitTooLong, "no host holds the model and none can be ordered to load it", c.back(unorderedBack))
	}
	if !ok || at.Before(c.leavesAt().Add(-answerSlack)) {
		return nil
	}
	if c.ran > 0 {
		return c.lost()
	}
	return core.RefuseUntil(core.CodeWaitTooLong, "no host takes the request before its deadline", c.back(at.Sub(now)))
}

// unordered tells whether nobody can have the model loaded: no agent, and no entry in the
// place of one, was heard of for a while. Its callers would wait until they leave.
func (c *call) unordered(now time.Time) bool {
	return c.query.Model != "" && c.ran == 0 && len(c.query.Tried) == 0 && now.Sub(c.proxy.ordered) >= unorderedTime
}

// leavesAt returns when the caller leaves if it hears nothing more.
func (c *call) leavesAt() time.Time {
	heard := c.latest
	if heard.IsZero() {
		heard = c.arrived
	}
	by := heard.Add(c.route.SilenceTimeout)
	if c.route.SilenceTimeout == 0 || c.deadline.Before(by) {
		return c.deadline
	}
	return by
}

// rest waits for a change that may let the request go on.
func (c *call) rest(ctx context.Context, changed chan struct{}) *core.Refusal {
	pause := lookAgain
	if len(c.query.Tried) > 0 {
		// All hosts that hold the model were tried: after a pause they may be again.
		pause = restPause
	}
	until, leaving := c.proxy.waitUntil(c.leavesAt())
	left := until.Sub(c.proxy.Clock.Now())
	if left <= 0 {
		return c.giveUpWaiting(leaving)
	}
	timer := time.NewTimer(min(pause, left))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return c.over(ctx)
	case <-changed:
	case <-timer.C:
		c.query.Tried = nil
	}
	return nil
}

// giveUpWaiting returns the answer to a request that may wait no longer. An entry
// that stops has it come back at once, to another.
func (c *call) giveUpWaiting(leaving bool) *core.Refusal {
	switch {
	case c.ran > 0:
		return c.lost()
	case leaving:
		return core.RefuseUntil(core.CodeLeaving, "this entry stops", c.proxy.Clock.Now())
	}
	return core.Refuse(core.CodeWaitTooLong, "no upstream host could run the request in its time")
}

// setWaiting counts the requests that wait for the model.
func (c *call) setWaiting(change int) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.query.Model == "" {
		return
	}
	p.demand.AddWaiting(c.query.Model, change)
	if change > 0 {
		p.Kick()
	}
}

// abandon takes back what choose noted.
func (c *call) abandon(t *target) {
	c.release(t)
	c.proxy.Update(func(*fleet.View, time.Time) {
		t.host.NoteAnswerStart(t.unread)
		t.host.NoteEnd(c.query.Model)
	})
}

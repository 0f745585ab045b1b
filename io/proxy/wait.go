package proxy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/fleet"
)

const (
	// noLoaderTimeout is how long there may be no agent or entry that can order loads
	// before requests for models that no host holds are refused. Agents that restart are
	// available again within it.
	noLoaderTimeout = 3 * time.Second
	// noLoaderRetry is the time after which callers of such requests are to retry.
	noLoaderRetry = 2 * time.Second
	// allLeavingRetry is the time after which callers are to retry if all hosts of their
	// service are leaving. Replacements that have started are listed by then.
	allLeavingRetry = time.Second
)

// acquire returns the host that the request is sent to next. It waits while no host can
// take the request, and refuses as soon as it is known that none will in time.
func (c *call) acquire(ctx context.Context) (*target, *core.Refusal) {
	waiting := false
	began, fetched := c.proxy.Clock.Now(), c.fetchTime
	defer func() {
		if waiting {
			c.addWaiting(-1)
			c.waitTime += c.proxy.Clock.Now().Sub(began) - (c.fetchTime - fetched)
		}
	}()
	for {
		t, fetch, changed, refusal := c.choose()
		if refusal != nil {
			return nil, refusal
		}
		if t != nil {
			if c.reserve(ctx, t) && c.ensureAdapter(ctx, t, fetch) && c.stillAvailable(t) {
				return t, c.recharge(ctx, t)
			}
			if ctx.Err() != nil {
				return nil, c.expired(ctx)
			}
			continue
		}
		if !waiting {
			waiting = true
			c.refund()
			c.addWaiting(1)
		}
		if refusal := c.waitForChange(ctx, changed); refusal != nil {
			return nil, refusal
		}
	}
}

// ensureAdapter loads the adapter if the host lacks it. A host at which that fails is
// not tried again before the others.
func (c *call) ensureAdapter(ctx context.Context, t *target, fetch bool) bool {
	if !fetch {
		if c.query.Adapter != "" {
			c.proxy.Adapters.RecordUse(t.id, c.query.Model, c.query.Adapter)
		}
		return true
	}
	began := c.proxy.Clock.Now()
	err := c.proxy.Adapters.Fetch(ctx, t.id, c.query.Model, c.query.Adapter)
	c.fetchTime += c.proxy.Clock.Now().Sub(began)
	if err == nil {
		return true
	}
	c.lastErr = err
	c.abandon(t)
	c.query.Tried = append(c.query.Tried, t.id)
	return false
}

// stillAvailable reports whether the chosen host still accepts requests after the time
// spent on reservations and adapters, and the request may still be sent. Otherwise the
// choice is undone.
func (c *call) stillAvailable(t *target) bool {
	p := c.proxy
	p.mu.Lock()
	now := p.Clock.Now()
	_, backoff := t.host.BackingOff(now)
	ok := t.host.IsAvailable(now) && !t.host.IsLeaving(now) && !backoff && !c.isQuarantined(now)
	p.mu.Unlock()
	if !ok {
		c.abandon(t)
	}
	return ok
}

// choose picks a host and records the request there. t is nil if no host can take the
// request; changed is closed when that may have changed. fetch is set if the request's
// adapter has to be loaded at the host first.
func (c *call) choose() (t *target, fetch bool, changed chan struct{}, refusal *core.Refusal) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if refusal := c.refuseQuarantined(now); refusal != nil {
		return nil, false, nil, refusal
	}
	choice := p.view.Pick(now, &c.query)
	if c.failure != nil && (choice.Host == nil || choice.RateLimitDelay > admit.MaxAhead) {
		return nil, false, nil, c.lost() // the kept failure is written instead
	}
	if choice.Host == nil && choice.Discontinued {
		return nil, false, p.changed, c.refuseDiscontinued(now, choice)
	}
	if choice.Host == nil {
		return nil, false, p.changed, c.refuseLate(now, choice)
	}
	c.recordChoice(now, choice)
	if c.keepsWaiting(choice) {
		return nil, false, p.changed, nil
	}
	if refusal := c.refuseOverload(choice); refusal != nil {
		return nil, false, nil, refusal
	}
	if c.sends > 0 && !p.window(c.service.Name).Take(now) {
		p.Meter.Retry(false)
		return nil, false, nil, c.giveUp()
	}
	h := choice.Host
	t = &target{
		id: h.ID, born: h.Born, address: h.Address, host: h, prefillTokens: h.PrefillTokens(now, &c.query), limit: h.Limit(now),
		origin: core.StreamOrigin{Service: h.Service, Software: h.Software, Host: h.ID, Born: h.Born},
	}
	h.NoteSent(now, &c.query)
	if c.query.Model != "" {
		p.view.NotePrompt(t.prefillTokens)
	}
	return t, choice.Fetch, nil, nil
}

// recordChoice records, for the log, the figures behind a choice.
func (c *call) recordChoice(now time.Time, choice fleet.Choice) {
	h := choice.Host
	c.software = h.Software
	c.chosen, c.cost, c.expectedWait, c.reportAge = h.ID, choice.Cost, choice.Wait, now.Sub(h.Report.Taken)
	c.heldUp, c.pauseChance = choice.HeldUp, choice.PauseChance
	if h.Report.Taken.IsZero() {
		c.reportAge = -1 // the host has no agent, or the agent has never reported
	}
}

// refuseOverload refuses a request if its hosts have more work than they can do in
// time. It never refuses a request that a host may have run in part.
func (c *call) refuseOverload(choice fleet.Choice) *core.Refusal {
	if c.query.Model == "" && choice.RateLimitDelay == 0 || c.started || c.ran > 0 || !choice.Overloaded(c.route.Target) {
		return nil
	}
	if choice.RateLimitDelay > 0 {
		return core.RefuseUntil(core.CodeOverload, "the hosts take no more requests a second", c.retryAt(choice.Wait))
	}
	return core.RefuseUntil(core.CodeOverload, "the model's hosts have more work than they can do in time", c.retryAt(choice.Wait))
}

// refuseLate refuses a request whose model will not be loaded before its caller leaves,
// which callers of silent streams do long before their deadline. A caller that is refused
// at once, with the time at which to retry, finds the model loaded at that time. The caller
// of refuseLate holds the proxy's mu.
func (c *call) refuseLate(now time.Time, choice fleet.Choice) *core.Refusal {
	if c.query.Model == "" && choice.Leaving && !choice.Listed && c.ran == 0 {
		return core.RefuseUntil(core.CodeNoHost, "all hosts of the service leave", c.retryAt(allLeavingRetry))
	}
	at, ok := c.proxy.forecasts[c.query.Model]
	if retry := choice.RetryAt; !retry.IsZero() && (!ok || retry.Before(at)) {
		at, ok = retry, true
		if c.ran == 0 && choice.AllBackingOff(now, c.route.Target) {
			return core.RefuseUntil(core.CodeOverload, "the hosts want no requests for now", c.retryAt(at.Sub(now)))
		}
	}
	if !ok && c.noLoader(now) {
		return core.RefuseUntil(core.CodeWaitTooLong, "no host holds the model and none can be ordered to load it", c.retryAt(noLoaderRetry))
	}
	if !ok || at.Before(c.callerLeavesAt().Add(-refusalMargin)) {
		return nil
	}
	if c.ran > 0 {
		return c.lost()
	}
	return core.RefuseUntil(core.CodeWaitTooLong, "no host takes the request before its deadline", c.retryAt(at.Sub(now)))
}

// noLoader reports whether, for noLoaderTimeout, no agent was available that could order
// the load of the model, nor an entry in its place. Callers would otherwise wait until
// they leave.
func (c *call) noLoader(now time.Time) bool {
	return c.query.Model != "" && c.ran == 0 && len(c.query.Tried) == 0 && now.Sub(c.proxy.loaderSeen) >= noLoaderTimeout
}

// callerLeavesAt returns when the caller leaves if it receives nothing more.
func (c *call) callerLeavesAt() time.Time {
	last := c.lastEvent
	if last.IsZero() {
		last = c.arrived
	}
	by := last.Add(c.route.SilenceTimeout)
	if c.route.SilenceTimeout == 0 || c.deadline.Before(by) {
		return c.deadline
	}
	return by
}

// waitForChange waits for a change that may let the request continue.
func (c *call) waitForChange(ctx context.Context, changed chan struct{}) *core.Refusal {
	pause := recheckInterval
	if len(c.query.Tried) > 0 {
		// All hosts that hold the model were tried. They may be tried again after a
		// pause.
		pause = retryPause
	}
	until, stopping := c.proxy.waitUntil(c.callerLeavesAt())
	left := until.Sub(c.proxy.Clock.Now())
	if left <= 0 {
		return c.giveUpWaiting(stopping)
	}
	timer := time.NewTimer(min(pause, left))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return c.expired(ctx)
	case <-changed:
	case <-timer.C:
		c.query.Tried = nil
	}
	return nil
}

// giveUpWaiting returns the refusal of a request that may wait no longer. If this entry is
// stopping, the caller is to retry at once, at another entry.
func (c *call) giveUpWaiting(stopping bool) *core.Refusal {
	switch {
	case c.ran > 0:
		return c.lost()
	case stopping:
		return core.RefuseUntil(core.CodeLeaving, "this entry stops", c.proxy.Clock.Now())
	}
	return core.Refuse(core.CodeWaitTooLong, "no upstream host could run the request in its time")
}

// addWaiting changes the number of requests that wait for the model.
func (c *call) addWaiting(change int) {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.query.Model == "" {
		return
	}
	p.demand.AddWaiting(c.query.Model, change)
	if change < 0 {
		c.setContinuing(false)
	}
	if change > 0 {
		p.Kick()
	}
}

// abandon undoes what choose recorded.
func (c *call) abandon(t *target) {
	c.release(t)
	c.proxy.Update(func(*fleet.View, time.Time) {
		t.host.NoteAnswerStart(t.prefillTokens)
		t.host.NoteEnd(c.query.Model)
	})
}

package proxy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/fleet"
	"radishwell/core/queue"
	"radishwell/core/turn"
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

// acquire returns the host that the request is sent to next. It waits for the request's turn,
// and refuses as soon as it is known that no host will take the request in time.
func (c *call) acquire(ctx context.Context) (*target, *core.Refusal) {
	for {
		t, fetch, refusal := c.awaitTurn(ctx)
		if refusal != nil {
			return nil, refusal
		}
		if c.reserve(ctx, t) && c.ensureAdapter(ctx, t, fetch) {
			c.checkUnproven(ctx, t)
			ready, refusal := c.beginTrial(ctx, t)
			switch {
			case refusal != nil:
				return nil, refusal
			case ready && c.stillAvailable(t):
				return t, c.prepareSend(ctx, t)
			}
			c.endTrial(false)
		}
		if ctx.Err() != nil {
			return nil, c.expired(ctx)
		}
	}
}

// prepareSend takes what the send of the request is charged for, just before it is sent, and
// undoes the choice of its host if it is refused.
func (c *call) prepareSend(ctx context.Context, t *target) *core.Refusal {
	if refusal := c.recharge(ctx, t); refusal != nil {
		return refusal
	}
	if c.sends > 0 && !c.takeRetry(ctx) {
		c.abandon(t)
		return c.giveUp()
	}
	return nil
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
// spent on reservations, adapters and trials, and the request may still be sent. Otherwise
// the choice is undone.
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

// waitReason is the reason for which a request waits.
type waitReason uint8

const (
	notWaiting waitReason = iota
	// forCopy: no host can take the request, such as while its model is loaded.
	forCopy
	// forRoom: hosts could take it, but more urgent requests would be late for it.
	forRoom
)

// prospect is what becomes of a request as things stand.
type prospect struct {
	// refusal is set if the request is refused.
	refusal *core.Refusal
	// choice has the host that the request is sent to, if it neither waits nor is refused.
	choice fleet.Choice
	reason waitReason
	// startBy is when a request that waits for room starts in any case; zero if it does not. ahead
	// is how much work its host may have before it when it starts.
	startBy time.Time
	ahead   time.Duration
}

// look returns what becomes of the request now. The caller holds the proxy's mu.
func (c *call) look(now time.Time) prospect {
	p := c.proxy
	c.verdict = turn.Start
	if refusal := c.refuseQuarantined(now); refusal != nil {
		return prospect{refusal: refusal}
	}
	if refusal := c.refuseStopping(now); refusal != nil {
		return prospect{refusal: refusal}
	}
	if !c.triesAgainAt.IsZero() && !now.Before(c.triesAgainAt) {
		c.query.Tried, c.triesAgainAt = nil, time.Time{}
	}
	choice := p.view.Pick(now, &c.query)
	if c.failure != nil && (choice.Host == nil || choice.RateLimitDelay > admit.MaxAhead) {
		return prospect{refusal: c.lost()} // the kept failure is written instead
	}
	switch {
	case choice.Host == nil && choice.Discontinued:
		return prospect{refusal: c.refuseDiscontinued(now, choice), reason: forCopy}
	case choice.Host == nil:
		return prospect{refusal: c.refuseLate(now, choice), reason: forCopy}
	}
	c.recordChoice(now, choice)
	if c.keepsWaiting(choice) {
		return prospect{reason: forCopy}
	}
	return c.decideTurn(now, choice)
}

// decideTurn decides whether the request starts at the chosen host. A request that a host may
// have run in part always does.
func (c *call) decideTurn(now time.Time, choice fleet.Choice) prospect {
	p := c.proxy
	switch {
	case c.started || c.ran > 0 || c.query.Model == "" && choice.RateLimitDelay == 0:
		return prospect{choice: choice}
	case p.sendsAtOnce || choice.RateLimitDelay > 0:
		return prospect{choice: choice, refusal: c.refuseOverload(choice)}
	}
	r := turn.Request{
		Arrived: c.arrived, Leaves: c.callerLeavesAt().Add(-refusalMargin), Target: c.route.Target,
		Urgent: p.ranks[c.service.Name].Urgent(now, c.rank), Wait: choice.Wait, Own: choice.Own,
		HeldUp: choice.Avoidable, Contended: choice.Host.Asking(now) <= c.rank,
	}
	c.urgent, c.own = r.Urgent, r.Own
	var startBy time.Time
	c.verdict, startBy = r.Decide(now)
	switch c.verdict {
	case turn.Start:
		return prospect{choice: choice}
	case turn.Refuse:
		return prospect{refusal: c.refuseFull(now, choice)}
	}
	return prospect{choice: choice, reason: forRoom, startBy: startBy, ahead: r.Ahead(c.verdict == turn.HoldLate)}
}

// start records the request at the chosen host, or refuses it if it is sent once more and the
// retry budget is used up. fetch is set if the request's adapter has to be loaded at the host
// first. The caller holds the proxy's mu.
func (c *call) start(now time.Time, choice fleet.Choice) (t *target, fetch bool, refusal *core.Refusal) {
	p := c.proxy
	if c.sends > 0 && !c.mayRetry(now) {
		return nil, false, c.giveUp()
	}
	h := choice.Host
	t = &target{
		id: h.ID, born: h.Born, address: h.Address, host: h, prefillTokens: choice.Prefill, limit: h.Limit(now),
		origin: core.StreamOrigin{Service: h.Service, Software: h.Software, Host: h.ID, Born: h.Born},
	}
	h.NoteSent(now, &c.query)
	if c.query.Model != "" {
		c.promptCached = c.query.Tokens - t.prefillTokens
		p.Meter.PromptTokens(c.query.Tokens, t.prefillTokens)
		p.view.NotePrompt(t.prefillTokens)
	}
	return t, choice.Fetch, nil
}

// recordChoice records, for the log, the figures behind a choice.
func (c *call) recordChoice(now time.Time, choice fleet.Choice) {
	h := choice.Host
	c.software = h.Software
	c.chosen, c.cost, c.expectedWait, c.reportAge = h.ID, choice.Cost, choice.Wait, now.Sub(h.Report.Taken)
	c.heldUp, c.pauseChance, c.fullChance = choice.HeldUp, choice.PauseChance, choice.FullChance
	if h.Report.Taken.IsZero() {
		c.reportAge = -1 // the host has no agent, or the agent has never reported
	}
}

// refuseOverload refuses a request if its hosts have more work than they can do in time.
func (c *call) refuseOverload(choice fleet.Choice) *core.Refusal {
	if !choice.Overloaded(c.route.Target) {
		return nil
	}
	if choice.RateLimitDelay > 0 {
		return core.RefuseUntil(core.CodeOverload, "the hosts take no more requests a second", c.retryAt(choice.Wait))
	}
	return c.refuseFull(c.proxy.Clock.Now(), choice)
}

// refuseFull refuses a request whose hosts have too much work.
func (c *call) refuseFull(now time.Time, choice fleet.Choice) *core.Refusal {
	at := c.spreadReturn(now, now.Add(choice.Wait), choice.Hosts)
	return core.RefuseUntil(core.CodeOverload, "the model's hosts have more work than they can do in time", at)
}

// refuseLate refuses a request whose model will not be loaded before its caller leaves,
// which callers of silent streams do long before their deadline. A caller that is refused
// at once, with the time at which to retry, finds the model loaded at that time. The caller
// of refuseLate holds the proxy's mu.
func (c *call) refuseLate(now time.Time, choice fleet.Choice) *core.Refusal {
	if c.query.Model == "" && choice.Leaving && c.ran == 0 {
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
	return core.RefuseUntil(core.CodeWaitTooLong, "no host takes the request before its deadline", c.spreadReturn(now, at, choice.Hosts))
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

// abandon undoes what start recorded.
func (c *call) abandon(t *target) {
	c.release(t)
	c.endTurn(queue.Failed)
	c.proxy.Update(func(*fleet.View, time.Time) {
		t.host.NoteAnswerStart(t.prefillTokens)
		t.host.NoteEnd(c.query.Model)
	})
}

package proxy

import (
	"context"
	"time"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/core/strike"
	"radishwell/io/events"
	"radishwell/io/loop"
)

const (
	// maxTrials bounds the trials in progress that one entry grants.
	maxTrials = 256
	// trialPatience is how long a request waits for its trial, and trialPause how long it waits
	// before it asks again.
	trialPatience = time.Second
	trialPause    = 100 * time.Millisecond
	// trialRetry is the time after which callers are to retry if there was no trial for them.
	trialRetry = time.Second
)

// trialRun is a trial in which a request runs.
type trialRun struct {
	keys     []string
	upstream core.HostName
	// whole is set if the request itself may crash upstreams. Otherwise parts of its prompt may.
	whole bool
	parts []parts.Name
	// late is set if the request may crash upstreams after its answer has gone on for some time.
	late bool
	// required is set if the request may run in no other way, and notBefore is when the trial may
	// begin.
	required  bool
	notBefore time.Time
}

// suspicion returns the trial that the request needs, without keys if it needs none. If both the
// request and parts of its prompt may crash upstreams, a crash is proof against the request only.
// The caller holds the proxy's mu.
func (c *call) suspicion(now time.Time) trialRun {
	p := c.proxy
	var out trialRun
	found := p.book.Find(now, c.fingerprint)
	if found.MayTry {
		out.keys = append(out.keys, c.fingerprint.String())
		out.whole, out.late, out.required, out.notBefore = true, found.TryLong, found.Standing == strike.Suspect, found.TryAt
	}
	verdict := p.parts.Check(now, c.shared)
	if !verdict.Unproven || c.retriesParts {
		return out
	}
	out.required = true
	for _, name := range verdict.Parts {
		out.keys = append(out.keys, string(name))
	}
	if !out.whole {
		out.parts = verdict.Parts
	}
	return out
}

// beginTrial begins a trial at the chosen host if the request needs one, and reports whether the
// request may be sent now. Otherwise the choice is undone, and the request is refused or is to
// choose again.
func (c *call) beginTrial(ctx context.Context, t *target) (ready bool, refusal *core.Refusal) {
	p := c.proxy
	p.mu.Lock()
	now := p.Clock.Now()
	run := c.suspicion(now)
	p.mu.Unlock()
	if len(run.keys) == 0 {
		return true, nil
	}
	run.upstream = incarnationName(t.incarnation())
	granted := !now.Before(run.notBefore) && p.Trials.Begin(ctx, run.keys, run.upstream)
	p.Meter.Trial(granted)
	if granted {
		c.run = run
		c.tries++
	}
	// The entry that grants trials may have told of crashes.
	if refusal = c.checkQuarantine(); refusal != nil {
		c.endTrial()
		c.abandon(t)
		return false, refusal
	}
	switch {
	case granted:
		events.Log(events.RequestTried, "request", c.ask.ID, "fingerprint", c.fingerprint, "host", t.id, "keys", run.keys, "whole", run.whole)
		return true, nil
	case !run.required:
		return true, nil
	}
	c.abandon(t)
	return false, c.awaitTrial(ctx, run.notBefore)
}

// awaitTrial waits until a request may ask for a trial again, and refuses it once it has waited for
// long enough: others have their trials, or its copy has.
func (c *call) awaitTrial(ctx context.Context, notBefore time.Time) *core.Refusal {
	now := c.proxy.Clock.Now()
	if c.trialBy.IsZero() {
		c.trialBy = c.retryAt(trialPatience)
	}
	switch {
	case c.sends > 0:
		return c.giveUp() // the refusal below says that it has not run
	case !now.Before(c.trialBy):
		return core.RefuseUntil(core.CodeOverload, "the request may crash upstreams and waits for a trial", c.retryAt(max(trialRetry, notBefore.Sub(now))))
	}
	loop.Sleep(ctx, trialPause)
	return nil
}

// endEarlyTrial ends a trial that shows whether upstreams crash as an answer begins, since it has
// gone on for some time.
func (c *call) endEarlyTrial() {
	if !c.run.late {
		c.endTrial()
	}
}

// endTrial ends the trial in which the request runs, if it does.
func (c *call) endTrial() {
	if len(c.run.keys) == 0 {
		return
	}
	c.proxy.Trials.End(c.run.keys, c.run.upstream)
	c.run = trialRun{}
}

// GrantTrial grants a trial to an entry, or does not, as the one that all entries ask. The entry may
// not know of the latest crashes.
func (p *Proxy) GrantTrial(keys []string, upstream core.HostName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, key := range keys {
		f, ok := core.ParseFingerprint(key)
		if !ok {
			continue // the key of a part
		}
		found := p.book.Find(now, f)
		if found.Standing == strike.Quarantined || now.Before(found.TryAt) {
			return false
		}
	}
	return p.trials.Begin(now, keys, upstream)
}

// CloseTrial ends a trial that GrantTrial granted.
func (p *Proxy) CloseTrial(keys []string, upstream core.HostName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials.End(keys, upstream)
}

// ownTrials implements core.Trials for a single entry.
type ownTrials struct{ proxy *Proxy }

var _ core.Trials = ownTrials{}

// Begin implements core.Trials.
func (o ownTrials) Begin(_ context.Context, keys []string, upstream core.HostName) bool {
	return o.proxy.GrantTrial(keys, upstream)
}

// End implements core.Trials.
func (o ownTrials) End(keys []string, upstream core.HostName) { o.proxy.CloseTrial(keys, upstream) }

package proxy

import (
	"cmp"
	"context"
	"slices"
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
	// trialGrace is how long after the request's time an answer in a trial of parts may end.
	trialGrace = 10 * time.Second
	// trialRetry is the time after which callers are to retry if there was no trial for them.
	trialRetry = time.Second
)

// trialRun is a trial in which a request runs.
type trialRun struct {
	keys     []string
	upstream core.HostName
	// whole is set if the request itself may crash upstreams, and parts are those of its prompt that
	// most likely do. If both may, a crash is proof against the request only. refused are all parts for which
	// it is refused otherwise.
	whole          bool
	parts, refused []parts.Name
	// proven is set if the parts are proved to crash upstreams, and are tried once more.
	proven bool
	// late is set if the request may crash upstreams after its answer has gone on for some time.
	late bool
	// required is set if the request may run in no other way, and notBefore is when the trial may
	// begin.
	required  bool
	notBefore time.Time
	// unbegun ends the attempt of a trial of parts if no answer begins in the request's time.
	unbegun *time.Timer
	// shows is what the trial has shown.
	shows trialResult
}

// trialResult is what a trial has shown of the parts of a prompt.
type trialResult string

const (
	showsNothing   trialResult = "nothing"
	showsWhole     trialResult = "whole-answer"
	showsBrokenOff trialResult = "broken-off"
)

// provenParts returns the parts against which a crash is proof.
func (r *trialRun) provenParts() []parts.Name {
	if r.whole {
		return nil
	}
	return r.parts
}

// until returns when the trial ends at the latest, if its request's time ends at a deadline.
func (r *trialRun) until(deadline time.Time) time.Time {
	if len(r.parts) > 0 {
		return deadline.Add(trialGrace)
	}
	return deadline
}

// suspicion returns the trial that the request needs, without keys if it needs none. The caller holds
// the proxy's mu.
func (c *call) suspicion(now time.Time) trialRun {
	p := c.proxy
	var out trialRun
	found := p.book.Find(now, c.fingerprint)
	if found.MayTry {
		out.keys = append(out.keys, c.fingerprint.String())
		out.whole, out.late, out.required, out.notBefore = true, found.TryLong, found.Standing == strike.Suspect, found.TryAt
	}
	verdict := p.parts.Check(now, c.shared)
	if len(verdict.Parts) == 0 {
		return out
	}
	out.required, out.parts, out.refused, out.proven = true, verdict.Parts, verdict.All, verdict.Proven
	for _, name := range verdict.Parts {
		out.keys = append(out.keys, string(name))
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
	granted := !now.Before(run.notBefore) && p.Trials.Begin(ctx, run.keys, run.upstream, run.until(c.deadline))
	p.Meter.Trial(granted)
	if granted {
		c.run = run
		c.tries++
	}
	// The entry that grants trials may have told of crashes.
	if refusal = c.checkQuarantine(); refusal != nil {
		c.endTrial(false)
		c.abandon(t)
		return false, refusal
	}
	switch {
	case granted && run.proven:
		events.Log(events.PartTried, "request", c.ask.ID, "parts", run.parts, "host", t.id)
		return true, nil
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

// endTrial ends the trial in which the request runs, if it does. ran is set if it may have run.
func (c *call) endTrial(ran bool) {
	if len(c.run.keys) == 0 {
		return
	}
	c.proxy.Trials.End(c.run.keys, c.run.upstream, ran)
	if len(c.run.parts) > 0 {
		events.Log(events.PartTrialEnded, "request", c.ask.ID, "parts", c.run.parts, "host", c.run.upstream, "ran", ran, "shows", cmp.Or(c.run.shows, showsNothing))
	}
	if c.run.unbegun != nil {
		c.run.unbegun.Stop()
	}
	c.run = trialRun{}
}

// splitKeys returns the requests and the parts of prompts that the keys of a trial name.
func splitKeys(keys []string) (requests []core.Fingerprint, shared []parts.Name) {
	for _, key := range keys {
		if f, ok := core.ParseFingerprint(key); ok {
			requests = append(requests, f)
		} else {
			shared = append(shared, parts.Name(key))
		}
	}
	return requests, shared
}

// GrantTrial grants a trial to an entry, or does not, as the one that all entries ask. The entry may
// not know of the latest crashes.
func (p *Proxy) GrantTrial(keys []string, upstream core.HostName, until time.Time) bool {
	requests, shared := splitKeys(keys)
	granted := p.grantTrial(keys, requests, shared, upstream, until)
	if granted {
		p.sendStrikes() // if this entry ends, the next one knows of the trial
	}
	return granted
}

// grantTrial is GrantTrial for the requests and parts that the keys name.
func (p *Proxy) grantTrial(keys []string, requests []core.Fingerprint, shared []parts.Name, upstream core.HostName, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	suspect := false
	for _, f := range requests {
		found := p.book.Find(now, f)
		if found.Standing == strike.Quarantined || now.Before(found.TryAt) {
			return false
		}
		suspect = suspect || found.Standing == strike.Suspect
	}
	alone := slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return p.parts.MayShare(now, parts.Name(key)) })
	if !p.trials.Begin(now, keys, alone, upstream, until) {
		return false
	}
	if !p.parts.Grant(now, shared, suspect) {
		p.trials.End(keys, upstream)
		return false
	}
	for _, f := range requests {
		if p.book.Find(now, f).Standing == strike.Suspect {
			p.book.RecordTrial(now, f, upstream)
		}
	}
	return true
}

// CloseTrial ends a trial that GrantTrial granted. ran is set if the request may have run.
func (p *Proxy) CloseTrial(keys []string, upstream core.HostName, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if granted := p.trials.End(keys, upstream); !ran && !granted.IsZero() {
		now := p.Clock.Now()
		requests, shared := splitKeys(keys)
		p.parts.Void(now, granted, shared)
		for _, f := range requests {
			p.book.VoidTrial(now, f, upstream)
		}
	}
}

// ownTrials implements core.Trials for a single entry.
type ownTrials struct{ proxy *Proxy }

var _ core.Trials = ownTrials{}

// Begin implements core.Trials.
func (o ownTrials) Begin(_ context.Context, keys []string, upstream core.HostName, until time.Time) bool {
	return o.proxy.GrantTrial(keys, upstream, until)
}

// End implements core.Trials.
func (o ownTrials) End(keys []string, upstream core.HostName, ran bool) {
	o.proxy.CloseTrial(keys, upstream, ran)
}

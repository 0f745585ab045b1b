package agent

import (
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/queue"
	"radishwell/io/loop"
	"radishwell/io/relay"
	"radishwell/wire"
)

const (
	// recordGrace is how long a request without a key is remembered past its
	// deadline. An entry asks what became of it within seconds of losing contact.
	recordGrace = time.Minute
	// keepEnded is how long the answer of a request without a key can be resumed
	// after its end.
	keepEnded = 10 * time.Second
	sweepTime = time.Second
)

// callOf returns the identity of a handed-over request. One without an
// idempotency key goes by its request id: the table then protects it, too, from
// a hand-over that arrives twice, or after its entry has given it up.
func (a *Agent) callOf(h *wire.WorkHead) dedupe.Call {
	c := dedupe.Call{
		Attempt: h.GetAttempt(), Incarnation: core.Incarnation(h.GetIncarnation()),
		Fingerprint: core.Fingerprint(h.GetFingerprint()),
		Expires:     relay.Time(h.GetClaimExpires()), Deadline: relay.Time(h.GetDeadline()),
	}
	if c.Attempt > 0 {
		c.ID = dedupe.KeyOf(core.OwnerName(h.GetOwner()), h.GetKey())
		return c
	}
	c.ID = dedupe.KeyOf("", h.GetRequestId())
	c.Attempt = max(1, h.GetHandOver())
	c.Expires = c.Deadline.Add(recordGrace)
	if c.Incarnation == 0 {
		c.Incarnation = a.Incarnation
	}
	return c
}

// take lets a handed-over request in: it returns the run to read the answer
// from, which may be one that was started before.
func (a *Agent) take(h *wire.WorkHead, body []byte) (*run, *core.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	call := a.callOf(h)
	if h.GetAttach() {
		return a.attach(now, call)
	}
	if a.leaving && a.runs[call.ID] == nil {
		return nil, a.leavingRefusal(now)
	}
	a.book.Merge(now, relay.StrikesIn(h.GetStrikes()))
	verdict := a.table.Begin(now, call)
	if verdict.Refusal != nil {
		return nil, verdict.Refusal
	}
	if !verdict.Start {
		return a.found(call)
	}
	r := a.newRun(now, h, body, call)
	if refusal := a.check(now, r); refusal != nil {
		a.end(r, now, refusal)
		return r, nil
	}
	a.enqueue(now, r)
	return r, nil
}

// attach finds the run of an earlier hand-over; it starts nothing.
func (a *Agent) attach(now time.Time, call dedupe.Call) (*run, *core.Refusal) {
	if verdict := a.table.Attach(now, call); verdict.Refusal != nil {
		return nil, verdict.Refusal
	}
	return a.found(call)
}

func (a *Agent) found(call dedupe.Call) (*run, *core.Refusal) {
	r := a.runs[call.ID]
	if r == nil || r.call.Attempt != call.Attempt {
		return nil, &core.Refusal{Code: core.CodeAnswerLost, Outcome: core.MayHaveRun, Reason: "the answer is no longer held"}
	}
	r.readers++
	return r, nil
}

func (a *Agent) newRun(now time.Time, h *wire.WorkHead, body []byte, call dedupe.Call) *run {
	r := &run{
		agent: a, head: h, body: body, id: core.RequestID(h.GetRequestId()), call: call,
		target: core.Target{Service: core.ServiceName(h.GetService()), Model: core.ModelName(h.GetModel()), Base: core.ModelName(h.GetBase())},
		spool:  relay.NewSpool(), arrived: now, readers: 1,
	}
	r.span = a.Tracer.Request(h.GetTrace(), core.Request{
		ID: r.id, Target: r.target, Owner: core.OwnerName(h.GetOwner()), Class: core.Class(h.GetClass()),
	}, now)
	a.runs[call.ID] = r
	a.byID[r.id] = r
	a.live[r.id] = r
	return r
}

// check refuses what this host may not or should not run.
func (a *Agent) check(now time.Time, r *run) *core.Refusal {
	if refusal := a.book.Refuse(now, r.call.Fingerprint); refusal != nil {
		return refusal
	}
	if !a.reached {
		return a.unreached(now)
	}
	if a.Plain {
		if r.target.Model != "" || r.target.Service != a.Service {
			return a.notGranted("the host serves " + string(a.Service))
		}
		return nil
	}
	if r.target.Model == "" {
		return a.notGranted("the host serves models")
	}
	if !a.mayUse(r.target.Model) || r.target.Base != "" && !a.mayUse(r.target.Base) {
		return a.notGranted("the host may not hold " + string(r.target.Model))
	}
	return nil
}

func (a *Agent) notGranted(reason string) *core.Refusal {
	refusal := core.RefuseUntil(core.CodeNotGranted, reason, a.Clock.Now().Add(time.Second))
	refusal.Host = a.Host
	return refusal
}

// enqueue puts the run into the queue, from which schedule takes it.
func (a *Agent) enqueue(now time.Time, r *run) {
	l := a.lane(r.target)
	l.waiting++
	r.waiting = true
	pushed := a.queue.Push(now, queue.Item{
		ID: r.id, Lane: l.name, Owner: core.OwnerName(r.head.GetOwner()), Caller: core.CallerName(r.head.GetCaller()),
		Class: core.Class(r.head.GetClass()), Deadline: relay.Time(r.head.GetDeadline()),
		Cost: max(1, r.head.GetTokens()), Size: core.Bytes(len(r.body)),
	})
	for _, gone := range pushed.Displaced {
		a.refused(now, gone)
	}
	if pushed.Refusal != nil {
		a.end(r, now, pushed.Refusal)
		return
	}
	a.schedule(now)
	loop.Poke(a.alarm)
}

// refused ends a run that the queue has given up.
func (a *Agent) refused(now time.Time, gone queue.Refused) {
	if r := a.byID[gone.Item.ID]; r != nil {
		a.end(r, now, gone.Refusal)
	}
}

// end gives a run its final answer; a nil refusal is a whole answer.
func (a *Agent) end(r *run, now time.Time, refusal *core.Refusal) {
	if !r.ended.IsZero() {
		return
	}
	r.ended = now
	delete(a.live, r.id)
	if refusal != nil && refusal.Host == "" {
		refusal.Host = a.Host
	}
	if r.waiting {
		r.waiting = false
		a.lane(r.target).waiting--
	}
	a.table.Finish(now, r.call.ID, r.call.Attempt, dedupe.End{Refusal: refusal})
	e := relay.EndOf(refusal)
	e.Cold = r.cold
	e.Load = a.load(now, []core.ModelName{r.target.Model, r.target.Base})
	e.Strikes = relay.StrikesOut(r.strikes)
	r.spool.End(e)
	r.trace(refusal, now)
}

// source returns where a reader gets the run's answer from. The answer of a
// keyed request is kept whole in the table, so that a repeat gets it from its
// first byte; any other is held only around its reader's offset.
func (a *Agent) source(r *run) relay.Source {
	if !r.keyed() {
		return r.spool.Next
	}
	return func(offset int64) (relay.Step, error) {
		step := r.spool.Peek()
		a.mu.Lock()
		defer a.mu.Unlock()
		view, ok := a.table.Read(r.call.ID, r.call.Attempt, offset)
		if !ok && step.End == nil {
			return relay.Step{}, &relay.LostError{Offset: offset}
		}
		if len(view.Chunks) > 0 {
			step.Data = view.Chunks[0]
		}
		return step, nil
	}
}

// left notes that a reader's connection has ended.
func (a *Agent) left(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.readers--
	r.detached = a.Clock.Now()
}

// Cancel ends a request whose caller has gone. A keyed request, or one that may
// not be repeated, goes on: its caller comes back for the answer, or wants the
// call carried out.
func (a *Agent) Cancel(id core.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.byID[id]; r != nil {
		a.abandon(r, a.Clock.Now())
	}
}

func (a *Agent) abandon(r *run, now time.Time) {
	switch {
	case !r.ended.IsZero() || r.keyed():
	case !r.began:
		a.queue.Remove(r.id)
		a.end(r, now, core.Refuse(core.CodeCancelled, causeCaller.Error()))
	case r.head.GetRepeatable():
		r.cancel(causeCaller)
	}
}

// sweep abandons runs that nobody reads any more and forgets ended ones.
func (a *Agent) sweep(now time.Time) {
	if now.Before(a.swept.Add(sweepTime)) {
		return
	}
	a.swept = now
	a.table.Expire(now)
	for id, r := range a.byID {
		switch {
		case r.ended.IsZero() && r.readers == 0 && now.After(r.detached.Add(orphanGrace)):
			a.abandon(r, now)
		case r.ended.IsZero() || r.readers > 0:
		case r.keyed() && a.kept(r):
		case now.After(r.ended.Add(keepEnded)):
			delete(a.byID, id)
			if a.runs[r.call.ID] == r {
				delete(a.runs, r.call.ID)
			}
		}
	}
}

func (a *Agent) kept(r *run) bool {
	_, ok := a.table.Read(r.call.ID, r.call.Attempt, 0)
	return ok
}

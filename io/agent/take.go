package agent

import (
	"time"

	"radishwell/io/peer"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/queue"
	"radishwell/io/loop"
	"radishwell/io/relay"
	"radishwell/wire"
)

const (
	// recordGrace is how long the record of a request without a key is kept
	// after its deadline. An entry that loses contact with the agent asks for
	// the outcome within seconds.
	recordGrace = time.Minute
	// endedRetention is how long the answer of a request without a key can be
	// resumed after its end.
	endedRetention = 10 * time.Second
	sweepInterval  = time.Second
)

// callOf returns the identity of a request from an entry. A request without an
// idempotency key is identified by its request id, so that the dedupe table also
// refuses it if it arrives twice, or after its entry has given it up.
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

// accept accepts a request from an entry and returns the run to read the answer
// from, which may be one that was started before.
func (a *Agent) accept(h *wire.WorkHead, body []byte) (*run, *core.Refusal) {
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
	a.book.Merge(now, peer.DecodeStrikes(h.GetStrikes()))
	verdict := a.table.Begin(now, call)
	if verdict.Refusal != nil {
		return nil, verdict.Refusal
	}
	if !verdict.Start {
		return a.attachReader(call)
	}
	r := a.newRun(now, h, body, call)
	if refusal := a.check(now, r); refusal != nil {
		a.end(r, now, refusal)
		return r, nil
	}
	a.enqueue(now, r)
	return r, nil
}

// attach returns the run of an earlier hand-over of the request. It starts no
// run.
func (a *Agent) attach(now time.Time, call dedupe.Call) (*run, *core.Refusal) {
	if verdict := a.table.Attach(now, call); verdict.Refusal != nil {
		return nil, verdict.Refusal
	}
	return a.attachReader(call)
}

func (a *Agent) attachReader(call dedupe.Call) (*run, *core.Refusal) {
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

// check returns a refusal for a request that this host may not or should not run.
func (a *Agent) check(now time.Time, r *run) *core.Refusal {
	if refusal := a.book.Refuse(now, r.call.Fingerprint); refusal != nil {
		return refusal
	}
	if !a.reachable {
		return a.unreachableRefusal(now)
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

// enqueue adds the run to the queue, from which schedule takes it.
func (a *Agent) enqueue(now time.Time, r *run) {
	l := a.lane(r.target)
	l.waiting++
	r.waiting = true
	pushed := a.queue.Push(now, queue.Item{
		ID: r.id, Lane: l.name, Owner: core.OwnerName(r.head.GetOwner()), Caller: core.CallerName(r.head.GetCaller()),
		Class: core.Class(r.head.GetClass()), Deadline: relay.Time(r.head.GetDeadline()),
		Cost: max(1, r.head.GetTokens()), Size: core.Bytes(len(r.body)),
	})
	for _, refused := range pushed.Displaced {
		a.endRefused(now, refused)
	}
	if pushed.Refusal != nil {
		a.end(r, now, pushed.Refusal)
		return
	}
	a.schedule(now)
	loop.Wake(a.deadlineWake)
}

// endRefused ends a run that the queue has refused.
func (a *Agent) endRefused(now time.Time, refused queue.Refused) {
	if r := a.byID[refused.Item.ID]; r != nil {
		a.end(r, now, refused.Refusal)
	}
}

// end ends a run. A nil refusal stands for a complete answer.
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
	e.Load = a.loadReport(now, []core.ModelName{r.target.Model, r.target.Base})
	e.Strikes = peer.EncodeStrikes(r.strikes)
	r.spool.End(e)
	r.recordTrace(refusal, now)
}

// source returns the source that a reader reads the run's answer from. The answer
// of a keyed request is kept whole in the dedupe table, so that a repeated
// request gets it from its first byte; any other is buffered only around its
// reader's offset.
func (a *Agent) source(r *run) relay.Source {
	if !r.keyed() {
		return r.spool.Next
	}
	return func(offset int64) (relay.Chunk, error) {
		step := r.spool.Peek()
		a.mu.Lock()
		defer a.mu.Unlock()
		view, ok := a.table.Read(r.call.ID, r.call.Attempt, offset)
		if !ok && step.End == nil {
			return relay.Chunk{}, &relay.LostError{Offset: offset}
		}
		if len(view.Chunks) > 0 {
			step.Data = view.Chunks[0]
		}
		return step, nil
	}
}

// detachReader records that a reader's connection has ended.
func (a *Agent) detachReader(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.readers--
	r.detached = a.Clock.Now()
}

// Cancel ends a request whose caller has closed its connection. A keyed request
// continues, since its caller may come back for the answer; so does a running
// request that may not be repeated, since its caller may want it carried out.
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
	case !r.dispatched:
		a.queue.Remove(r.id)
		a.end(r, now, core.Refuse(core.CodeCancelled, causeCaller.Error()))
	case r.head.GetRepeatable():
		r.cancel(causeCaller)
	}
}

// sweep abandons runs that have had no reader for orphanGrace and removes ended
// ones whose answers need not be kept.
func (a *Agent) sweep(now time.Time) {
	if now.Before(a.lastSweep.Add(sweepInterval)) {
		return
	}
	a.lastSweep = now
	a.table.Expire(now)
	for id, r := range a.byID {
		switch {
		case r.ended.IsZero() && r.readers == 0 && now.After(r.detached.Add(orphanGrace)):
			a.abandon(r, now)
		case r.ended.IsZero() || r.readers > 0:
		case r.keyed() && a.answerKept(r):
		case now.After(r.ended.Add(endedRetention)):
			delete(a.byID, id)
			if a.runs[r.call.ID] == r {
				delete(a.runs, r.call.ID)
			}
		}
	}
}

func (a *Agent) answerKept(r *run) bool {
	_, ok := a.table.Read(r.call.ID, r.call.Attempt, 0)
	return ok
}

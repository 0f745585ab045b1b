package entry

import (
	"math/rand/v2"
	"time"

	"radishwell/io/peer"

	"radishwell/core"
	"radishwell/core/member"
	"radishwell/core/retry"
	"radishwell/core/route"
	"radishwell/core/strike"
	"radishwell/io/events"
	"radishwell/wire"
)

// startAttempt records that a request is sent to a host now. It returns the host's
// incarnation as last known, zero if it is not known.
func (e *Entry) startAttempt(h Host, r core.Request) core.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.host(h.Name)
	s.inFlight++
	s.sent++
	e.copies.Start(r.Fingerprint, h.Name)
	e.router.RecordSent(e.Clock.Now(), r, h.Name)
	if s.incarnation != 0 {
		return s.incarnation
	}
	return h.Incarnation
}

// endAttempt records how an attempt at a host ended.
func (e *Entry) endAttempt(h Host, r core.Request, refusal *core.Refusal, cold bool, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.host(h.Name).inFlight--
	e.copies.End(now, r.Fingerprint, refusal == nil)
	took := now.Sub(since)
	switch {
	case refusal == nil && cold:
		e.recordColdStart(r.Target, e.host(h.Name).tier(r.Target.Model), took)
	case refusal == nil:
		e.router.Observe(now, route.Report{Host: h.Name, Target: r.Target, Result: route.Served, Took: took, Cost: cost(r)})
	case isContactLoss(refusal.Code) || refusal.Code == core.CodeUpstreamFailed:
		e.router.Observe(now, route.Report{Host: h.Name, Target: r.Target, Result: route.Broken, Took: took, Cost: cost(r)})
	}
	e.OnContact(member.Contact{
		Host: h.Name, OK: refusal == nil || !isContactLoss(refusal.Code), Since: since,
		Incarnation: e.host(h.Name).incarnation, Leaving: refusal != nil && refusal.Code == core.CodeLeaving,
	})
}

// isContactLoss reports whether a refusal means that contact with a host or its
// upstream was lost.
func isContactLoss(code core.Code) bool {
	return code == core.CodeUpstreamLost || code == core.CodeUnreached
}

// watchOverdue reports to the router when an attempt takes much longer than others did.
// Otherwise a host that hangs would be noticed only when its requests end.
func (e *Entry) watchOverdue(h Host, r core.Request, since time.Time) *time.Timer {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.router.OverdueAt(since, r.Target, cost(r))
	wait := time.Hour
	if !at.IsZero() {
		wait = at.Sub(since)
	}
	return time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		now := e.Clock.Now()
		events.Log(events.HostSlow, "host", h.Name, "request", r.ID, "after", now.Sub(since).String())
		e.router.Observe(now, route.Report{Host: h.Name, Target: r.Target, Result: route.Overdue, Took: now.Sub(since), Cost: cost(r)})
	})
}

// applyEnd applies the load and the strikes that an answer's end frame carries.
func (e *Entry) applyEnd(h Host, end *wire.End) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad(h.Name, end.GetLoad())
	if len(end.GetStrikes()) > 0 {
		e.mergeStrikes(peer.DecodeStrikes(end.GetStrikes()))
	}
}

func (e *Entry) recordFirstAttempt(set core.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.RecordFirst(set)
}

func (e *Entry) decideRetry(c retry.Case) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.budgets.Decide(e.Clock.Now(), c, e.Rand)
	e.Meter.Retry(d.Action != retry.GiveUp)
	return d
}

// random returns a random number; the source is not safe for concurrent use.
func (e *Entry) random(from func(*rand.Rand) uint64) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return from(e.Rand)
}

// strikesAgainst returns the strikes against a request, and whether the request is a
// suspect that goes to its trial.
func (e *Entry) strikesAgainst(f core.Fingerprint) (list []*wire.Strike, trial bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	return peer.EncodeStrikes(e.book.RecordsOf(now, f)), !e.book.TrialTime(now, f).IsZero()
}

// cancelAt notifies a host in the background that a request's caller has left.
func (e *Entry) cancelAt(h Host, id core.RequestID) {
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		e.Relay.cancel(h, id)
	}()
}

// Strikes returns the strikes that this entry knows, for its peers.
func (e *Entry) Strikes() []strike.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Records(e.Clock.Now())
}

// MergeStrikes adds strikes from peers and reports whether any was new.
func (e *Entry) MergeStrikes(list []strike.Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mergeStrikes(list)
}

// mergeStrikes adds strikes. For a request that has ended well here, it sends peers a
// record of that; for one that is in flight, it sends the new strikes to the host that
// has it. The lock is held.
func (e *Entry) mergeStrikes(list []strike.Record) bool {
	now := e.Clock.Now()
	added := e.book.Merge(now, list)
	for _, f := range added {
		if e.copies.TakeProven(now, f) {
			go e.BroadcastStrikes([]strike.Record{e.book.RecordKnownGood(now, f)})
		}
		if host := e.copies.HostOf(f); host != "" {
			go e.SendStrikes(host, e.book.RecordsOf(now, f))
		}
	}
	return len(added) > 0
}

// Quarantined lists the requests that strikes are held against, for operators.
func (e *Entry) Quarantined() []strike.Finding {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.List(e.Clock.Now())
}

// ClearStrikes voids the strikes against a request. Operators call it.
func (e *Entry) ClearStrikes(f core.Fingerprint) {
	e.mu.Lock()
	mark := e.book.Clear(e.Clock.Now(), f)
	e.mu.Unlock()
	e.BroadcastStrikes([]strike.Record{mark})
}

package entry

import (
	"math/rand/v2"
	"time"

	"radishwell/core"
	"radishwell/core/member"
	"radishwell/core/retry"
	"radishwell/core/route"
	"radishwell/core/strike"
	"radishwell/io/events"
	"radishwell/io/relay"
	"radishwell/wire"
)

// handing notes that a request goes to a host now, and returns the host's
// incarnation as last known, zero where it is not.
func (e *Entry) handing(h Host, r core.Request) core.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.host(h.Name)
	s.inFlight++
	s.sent++
	e.copies.Start(r.Fingerprint, h.Name)
	e.router.Sent(e.Clock.Now(), r, h.Name)
	if s.incarnation != 0 {
		return s.incarnation
	}
	return h.Incarnation
}

// handed notes how an attempt at a host ended.
func (e *Entry) handed(h Host, r core.Request, refusal *core.Refusal, cold bool, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.host(h.Name).inFlight--
	e.copies.End(now, r.Fingerprint, refusal == nil)
	took := now.Sub(since)
	switch {
	case refusal == nil && cold:
		e.noteCost(r.Target, e.host(h.Name).tier(r.Target.Model), took)
	case refusal == nil:
		e.router.Observe(now, route.Report{Host: h.Name, Target: r.Target, Result: route.Served, Took: took, Cost: cost(r)})
	case broken(refusal.Code) || refusal.Code == core.CodeUpstreamFailed:
		e.router.Observe(now, route.Report{Host: h.Name, Target: r.Target, Result: route.Broken, Took: took, Cost: cost(r)})
	}
	e.Noted(member.Contact{
		Host: h.Name, OK: refusal == nil || !broken(refusal.Code), Since: since,
		Incarnation: e.host(h.Name).incarnation, Leaving: refusal != nil && refusal.Code == core.CodeLeaving,
	})
}

// broken tells whether a refusal means that contact with a host or its upstream
// failed.
func broken(code core.Code) bool {
	return code == core.CodeUpstreamLost || code == core.CodeUnreached
}

// watchOverdue tells the router when an attempt takes much longer than others
// did. Without it a host that hangs is noticed only when its requests end.
func (e *Entry) watchOverdue(h Host, r core.Request, since time.Time) *time.Timer {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.router.Patience(since, r.Target, cost(r))
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

// ended takes what rides on an answer's end.
func (e *Entry) ended(h Host, end *wire.End) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLoad(h.Name, end.GetLoad())
	if len(end.GetStrikes()) > 0 {
		e.mergeStrikes(relay.StrikesIn(end.GetStrikes()))
	}
}

func (e *Entry) firstAttempt(set core.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.First(set)
}

func (e *Entry) decide(c retry.Case) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.budgets.Decide(e.Clock.Now(), c, e.Rand)
	e.Meter.Retry(d.Action != retry.GiveUp)
	return d
}

// draw returns a random number; the source is not safe for concurrent use.
func (e *Entry) draw(from func(*rand.Rand) uint64) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return from(e.Rand)
}

// strikesAgainst returns what is held against a request, and whether it goes to
// its trial.
func (e *Entry) strikesAgainst(f core.Fingerprint) (list []*wire.Strike, trial bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	return relay.StrikesOut(e.book.RecordsOf(now, f)), !e.book.TrialTime(now, f).IsZero()
}

// cancelAt tells a host in the background that a request's caller has gone.
func (e *Entry) cancelAt(h Host, id core.RequestID) {
	e.calls.Add(1)
	go func() {
		defer e.calls.Done()
		e.Relay.cancel(h, id)
	}()
}

// Strikes returns what this entry knows against requests, for peers.
func (e *Entry) Strikes() []strike.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Records(e.Clock.Now())
}

// MergeStrikes takes strikes from peers and tells whether any was news.
func (e *Entry) MergeStrikes(list []strike.Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mergeStrikes(list)
}

// mergeStrikes speaks for requests that have ended well here, and tells the
// hosts that have copies of the others. The lock is held.
func (e *Entry) mergeStrikes(list []strike.Record) bool {
	now := e.Clock.Now()
	news := e.book.Merge(now, list)
	for _, f := range news {
		if e.copies.TakeProven(now, f) {
			go e.Spread([]strike.Record{e.book.RecordKnownGood(now, f)})
		}
		if host := e.copies.HostOf(f); host != "" {
			go e.Tell(host, e.book.RecordsOf(now, f))
		}
	}
	return len(news) > 0
}

// Quarantined lists the requests that something is held against, ClearStrikes
// voids what is held against one. Operators call both.
func (e *Entry) Quarantined() []strike.Finding {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.List(e.Clock.Now())
}

// ClearStrikes voids what is held against a request.
func (e *Entry) ClearStrikes(f core.Fingerprint) {
	e.mu.Lock()
	mark := e.book.Clear(e.Clock.Now(), f)
	e.mu.Unlock()
	e.Spread([]strike.Record{mark})
}

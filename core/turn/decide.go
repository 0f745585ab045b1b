package turn

import (
	"time"

	"radishwell/core"
)

const (
	// urgentShare is the fraction of the most urgent callers' target that less urgent work may
	// take up at a host. The rest is for reading the urgent prompt itself.
	urgentShare = 0.75
	// longShare is the fraction of the limit that a prompt counts with at most.
	longShare = 0.75
	// idleShare is the fraction of the limit below which the work ahead counts as none. A request
	// that is late already starts then: any earlier it would make others late.
	idleShare = 0.125
	// minLimit is the least limit. Shorter waits cannot be foreseen.
	minLimit = 200 * time.Millisecond
	// maxHeldUp is the number of streams held up from which a request waits if it can.
	maxHeldUp = 0.5
	// startMargin is how long before the last moment at which it can be in time a request starts,
	// unless others wait that are as urgent: what is foreseen is off by as much. lateMargin is how
	// long after that moment it counts as late.
	startMargin = 30 * time.Millisecond
	lateMargin  = 50 * time.Millisecond
)

// Request is a request for which a host is known.
type Request struct {
	// Arrived is when it arrived, Leaves when its caller leaves without an answer.
	Arrived, Leaves time.Time
	// Target is the time within which callers get the full use of an answer.
	Target time.Duration
	// Urgent is the shortest target of more urgent requests that come for the same service;
	// zero if none come.
	Urgent time.Duration
	// Wait is the time until the host should give its first answer, and Own the part of it that
	// the host spends on this request.
	Wait, Own time.Duration
	// HeldUp is the expected number of streams that would pause for too long if the request is
	// sent now, and not if it is sent once the host has read the prompts before it.
	HeldUp float64
	// Contended is set if other entries wait for the host with requests that are as urgent. The
	// host's agent then grants room to all in order.
	Contended bool
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Start: the request is sent now.
	Start Verdict = iota
	// Hold: it waits, since it can start later and still be in time.
	Hold
	// HoldLate: it is late already and waits until the host has hardly any other work.
	HoldLate
	// Refuse: its caller leaves before the host can answer.
	Refuse
)

var verdictNames = [...]string{"start", "hold", "hold-late", "refuse"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// limit returns how much work, including the request, a host may have once it is sent there.
func (r *Request) limit() time.Duration {
	limit := core.TimeAllowed(r.Target)
	if r.Urgent > 0 {
		limit = min(limit, time.Duration(urgentShare*float64(core.TimeAllowed(r.Urgent))))
	}
	return max(limit, minLimit)
}

// Ahead returns how much work a host may have before the request so that it starts there now.
// late is set if the request is late already.
//
// A long prompt counts with a part of the limit at most. Otherwise it would wait for a host that is
// idle, while shorter ones go on filling it.
func (r *Request) Ahead(late bool) time.Duration {
	limit := r.limit()
	if late {
		return time.Duration(idleShare * float64(limit))
	}
	return limit - min(r.Own, time.Duration(longShare*float64(limit)))
}

// Decide decides on a request. If the verdict is Hold, the request has to be decided on again at
// the returned time: while none as urgent wait for the host, it starts then, whatever room there
// is, since later it would be late.
func (r *Request) Decide(now time.Time) (v Verdict, again time.Time) {
	last := r.Arrived.Add(core.TimeAllowed(r.Target) - r.Wait)
	inTime := !now.After(last.Add(lateMargin))
	switch {
	case r.Target <= 0 || r.Wait-r.Own <= r.Ahead(!inTime) && !r.Contended && r.HeldUp < maxHeldUp:
		return Start, now
	case inTime && r.Contended:
		return Hold, last.Add(lateMargin + 1)
	case inTime && now.Before(last.Add(-startMargin)):
		return Hold, last.Add(-startMargin)
	case inTime:
		return Start, now
	case !now.Add(r.Wait).Before(r.Leaves):
		return Refuse, time.Time{}
	}
	return HoldLate, time.Time{}
}

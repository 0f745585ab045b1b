package turn

import "time"

const (
	// urgentShare is the fraction of the most urgent callers' target that less urgent work may
	// take up at a host. The rest is for reading the urgent prompt itself.
	urgentShare = 0.75
	// lateShare is the fraction of that in turn which requests may take up that are late already.
	lateShare = 0.5
	// idleShare is the fraction of the limit below which the work ahead counts as none, so that
	// a prompt that alone takes longer than the limit gets its turn.
	idleShare = 0.125
	// minLimit is the least limit. Shorter waits cannot be foreseen.
	minLimit = 200 * time.Millisecond
	// maxHeldUp is the number of streams held up from which a request waits if it can.
	maxHeldUp = 0.5
	// minTarget is the wait that is in time even if the target is shorter.
	minTarget = 500 * time.Millisecond
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
	limit := max(r.Target, minTarget)
	if r.Urgent > 0 {
		limit = min(limit, time.Duration(urgentShare*float64(max(r.Urgent, minTarget))))
	}
	return max(limit, minLimit)
}

// hasRoom reports whether the host has room for the request within a limit.
func (r *Request) hasRoom(limit time.Duration) bool {
	if r.HeldUp >= maxHeldUp {
		return false
	}
	return r.Wait <= limit || r.Wait-r.Own <= time.Duration(idleShare*float64(limit))
}

// Decide decides on a request. If the verdict is Hold, the request has to be decided on again at
// the returned time, at which it starts whatever room there is: later it would be late.
func (r *Request) Decide(now time.Time) (v Verdict, startBy time.Time) {
	limit := r.limit()
	startBy = r.Arrived.Add(max(r.Target, minTarget) - r.Wait)
	switch {
	case r.Target <= 0 || r.hasRoom(limit) && !startBy.Before(now):
		return Start, now
	case now.Before(startBy):
		return Hold, startBy
	case startBy.Equal(now):
		return Start, now
	case r.hasRoom(time.Duration(lateShare * float64(limit))):
		return Start, now
	case !now.Add(r.Wait).Before(r.Leaves):
		return Refuse, time.Time{}
	}
	return HoldLate, time.Time{}
}

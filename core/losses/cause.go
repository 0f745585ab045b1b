package losses

import (
	"time"

	"radishwell/core"
)

// Request is the data about one request that is found in the log.
type Request struct {
	Route string
	// Target is the route's latency target; zero if there is none or the log
	// doesn't have it.
	Target time.Duration
	// PauseTarget is the longest acceptable pause within a stream; zero if there is
	// none.
	PauseTarget time.Duration
	// Duration is the time until the end of the request.
	Duration time.Duration
	// FirstEvent is the time until the first event of a stream; zero for other
	// answers.
	FirstEvent time.Duration
	// LongestPause is the longest pause between two events of a stream.
	LongestPause time.Duration
	// NoCopyWait is the time during which no host held the model.
	NoCopyWait time.Duration
	// AdapterWait is the time during which an adapter was being transferred.
	AdapterWait time.Duration
	// HeldWait is the time during which the request was held at the entry until a host had room.
	HeldWait time.Duration
	// Sends is the number of hosts that the request was sent to.
	Sends int
	// Answered is set if the caller received an upstream's whole answer.
	Answered bool
	// Failed is set if that answer reported a failure of the upstream.
	Failed bool
	// Code is the code of a request that was refused or failed.
	Code core.Code
	// Spoilt is set if an upstream's answer was unusable and not relayed.
	Spoilt bool
}

// Cause is the reason why a request was not served in time.
type Cause uint8

// Causes. None means that the request was served in time.
const (
	None Cause = iota
	LateNoCopy
	LateAdapter
	LateHeld
	LateQueue
	LatePauses
	FailedUpstream
	FailedSpoilt
	FailedLost
	FailedLate
	CancelledNoCopy
	CancelledAdapter
	CancelledHeld
	CancelledQueue
	RefusedAtDeadline
	RefusedAtOnce
	RefusedWaiting
	RefusedKey
	RefusedAllowance
	RefusedOther
	causeCount
)

// texts are the names of the causes in printed tables.
var texts = [causeCount]string{
	None:              "in time",
	LateNoCopy:        "late: no copy of the model, or on its way",
	LateAdapter:       "late: adapter on its way",
	LateHeld:          "late: held at the entry for lack of room",
	LateQueue:         "late: queue and reading in the engine",
	LatePauses:        "late: pauses within the stream",
	FailedUpstream:    "failed by the upstream",
	FailedSpoilt:      "failed: the upstream's answer was spoilt",
	FailedLost:        "failed: contact with the upstream was lost",
	FailedLate:        "failed: not answered within its time",
	CancelledNoCopy:   "caller left: no copy of the model, or on its way",
	CancelledAdapter:  "caller left: adapter on its way",
	CancelledHeld:     "caller left: held at the entry for lack of room",
	CancelledQueue:    "caller left: nothing from the engine",
	RefusedAtDeadline: "refused when its time was over, untried",
	RefusedAtOnce:     "refused at once: overload or copy too late",
	RefusedWaiting:    "refused while it waited",
	RefusedKey:        "refused: key unknown or taken away",
	RefusedAllowance:  "refused: over its customer's allowance",
	RefusedOther:      "refused: other reasons",
}

// String implements fmt.Stringer.
func (c Cause) String() string { return texts[c] }

// Cause returns the reason why the request was not served in time, or None.
func (r *Request) Cause() Cause {
	switch {
	case r.Answered && r.Failed:
		return FailedUpstream
	case r.Answered:
		return r.late()
	case r.Spoilt:
		return FailedSpoilt
	}
	switch r.Code {
	case core.CodeCancelled:
		return r.longest(CancelledNoCopy, CancelledAdapter, CancelledHeld, CancelledQueue)
	case core.CodeUpstreamLost:
		return FailedLost
	case core.CodeUpstreamLate:
		return FailedLate
	case core.CodeWaitTooLong, core.CodeOverload:
		return r.refused()
	case core.CodeBadKey:
		return RefusedKey
	case core.CodeRateLimit:
		return RefusedAllowance
	}
	return RefusedOther
}

// atOnce is the longest duration of a request that counts as refused on arrival.
const atOnce = 100 * time.Millisecond

// refused returns the cause for a request that was refused because no host could
// serve it in time.
func (r *Request) refused() Cause {
	switch {
	case r.Duration < atOnce:
		return RefusedAtOnce
	case r.Sends == 0 && r.Target > 0 && r.Duration >= r.Target:
		return RefusedAtDeadline
	}
	return RefusedWaiting
}

// late returns the cause for an answer that was late, or None.
func (r *Request) late() Cause {
	switch {
	case r.Target > 0 && r.responseTime() > r.Target:
		return r.longest(LateNoCopy, LateAdapter, LateHeld, LateQueue)
	case r.PauseTarget > 0 && r.LongestPause > r.PauseTarget:
		return LatePauses
	}
	return None
}

// responseTime returns the time until the first event of a stream. For other
// answers, and for streams without events, it is the time until the end.
func (r *Request) responseTime() time.Duration {
	if r.FirstEvent > 0 {
		return r.FirstEvent
	}
	return r.Duration
}

// longest returns the cause that accounts for the largest part of the response
// time.
func (r *Request) longest(noCopy, adapter, held, queue Cause) Cause {
	rest := r.responseTime() - r.NoCopyWait - r.AdapterWait - r.HeldWait
	switch max(r.NoCopyWait, r.AdapterWait, r.HeldWait, rest) {
	case r.NoCopyWait:
		return noCopy
	case r.AdapterWait:
		return adapter
	case r.HeldWait:
		return held
	}
	return queue
}

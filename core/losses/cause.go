package losses

import (
	"time"

	"radishwell/core"
)

// Request is what the log says of one request.
type Request struct {
	Route string
	// Target is the route's, zero where it has none or the log does not say; Pause
	// the longest pause in a stream that callers take well.
	Target, Pause time.Duration
	// Took is the time to the end, First that to the first event of a stream, zero
	// for other answers, and Longest the longest pause between two events.
	Took, First, Longest time.Duration
	// Waited is the time without a host that holds the model, Fetched that in which
	// an adapter was on its way.
	Waited, Fetched time.Duration
	// Sends counts the hosts that got the request.
	Sends int
	// Answered tells that the caller got an upstream's whole answer, and Failed that it
	// was the upstream's own failure.
	Answered, Failed bool
	// Code is the refusal or failure of a request that was not answered.
	Code core.Code
	// Spoilt tells that an upstream's answer could not be passed on.
	Spoilt bool
}

// Cause is why a request was lost or late.
type Cause uint8

// Causes. None is that of a request that was served in time.
const (
	None Cause = iota
	LateNoCopy
	LateAdapter
	LateQueue
	LatePauses
	FailedUpstream
	FailedSpoilt
	FailedLost
	FailedLate
	LeftNoCopy
	LeftAdapter
	LeftQueue
	HeldToEnd
	RefusedAtOnce
	RefusedWaiting
	RefusedKey
	RefusedAllowance
	RefusedOther
	causeCount
)

// texts name the causes as the table prints them.
var texts = [causeCount]string{
	None:             "in time",
	LateNoCopy:       "late: no copy of the model, or on its way",
	LateAdapter:      "late: adapter on its way",
	LateQueue:        "late: queue and reading in the engine",
	LatePauses:       "late: pauses within the stream",
	FailedUpstream:   "failed by the upstream",
	FailedSpoilt:     "failed: the upstream's answer was spoilt",
	FailedLost:       "failed: contact with the upstream was lost",
	FailedLate:       "failed: not answered within its time",
	LeftNoCopy:       "caller left: no copy of the model, or on its way",
	LeftAdapter:      "caller left: adapter on its way",
	LeftQueue:        "caller left: nothing from the engine",
	HeldToEnd:        "refused when its time was over, untried",
	RefusedAtOnce:    "refused at once: overload or copy too late",
	RefusedWaiting:   "refused while it waited",
	RefusedKey:       "refused: key unknown or taken away",
	RefusedAllowance: "refused: over its customer's allowance",
	RefusedOther:     "refused: other reasons",
}

// String implements fmt.Stringer.
func (c Cause) String() string { return texts[c] }

// Cause returns why the request was lost or late.
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
		return r.longest(LeftNoCopy, LeftAdapter, LeftQueue)
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

// atOnce is how long a refusal may take that was decided on arrival.
const atOnce = 100 * time.Millisecond

// refused tells what became of a request for which there was no host in time.
func (r *Request) refused() Cause {
	switch {
	case r.Took < atOnce:
		return RefusedAtOnce
	case r.Sends == 0 && r.Target > 0 && r.Took >= r.Target:
		return HeldToEnd
	}
	return RefusedWaiting
}

// late tells why an answer came late.
func (r *Request) late() Cause {
	switch {
	case r.Target > 0 && r.silent() > r.Target:
		return r.longest(LateNoCopy, LateAdapter, LateQueue)
	case r.Pause > 0 && r.Longest > r.Pause:
		return LatePauses
	}
	return None
}

// silent returns the time in which the caller heard nothing: until the first event of
// a stream, and until the end of other answers and of streams that brought none.
func (r *Request) silent() time.Duration {
	if r.First > 0 {
		return r.First
	}
	return r.Took
}

// longest returns the cause of the longest part of the time before the first sign of
// an answer.
func (r *Request) longest(noCopy, adapter, queue Cause) Cause {
	rest := r.silent() - r.Waited - r.Fetched
	switch {
	case r.Waited >= r.Fetched && r.Waited >= rest:
		return noCopy
	case r.Fetched >= rest:
		return adapter
	}
	return queue
}

package dedupe

import (
	"time"

	"radishwell/core"
)

// State is the state of an attempt at its agent. The values are those of
// SealReply on the wire.
type State uint8

// States of an attempt.
const (
	// Sealed: the attempt has not run on this agent and never will.
	Sealed State = iota
	// Running: the attempt was accepted and has not ended. It may be waiting in
	// the agent's queue. Its answer can be read with Attach.
	Running
	// Done: the attempt has ended and its answer is kept. The answer may be a
	// refusal with outcome MayHaveRun.
	Done
	// Lost: the attempt ran or may have run, and its answer isn't kept. It is also
	// the state of attempts for a previous incarnation of this agent.
	Lost
	stateCount
)

var stateNames = [stateCount]string{"sealed", "running", "done", "lost"}

// String returns the state's name.
func (s State) String() string {
	if s >= stateCount {
		return "unknown"
	}
	return stateNames[s]
}

// Call is one attempt as it arrives at the agent.
type Call struct {
	ID          KeyID
	Attempt     uint64
	Incarnation core.Incarnation
	Fingerprint core.Fingerprint
	// Expires is when the claim expires, which is after Deadline.
	Expires time.Time
	// Deadline is the request's deadline.
	Deadline time.Time
}

// End is the end of an attempt's answer. Refusal is nil if the answer is whole.
type End struct {
	Refusal *core.Refusal
}

// record is the latest attempt of a key on this agent.
type record struct {
	attempt     uint64
	fingerprint core.Fingerprint
	state       State
	expires     time.Time
	answer      *answer
	// refusal is the reason why the attempt was sealed, if the agent refused it.
	refusal *core.Refusal
	// doneSeq is the position of the complete answer in the order of eviction; zero
	// while the attempt is running.
	doneSeq uint64
}

// visibleState returns the state as reported to entries. A running attempt whose
// answer was evicted because it exceeds the bound counts as Lost, as nobody can
// read its whole answer any more.
func (r *record) visibleState() State {
	if r.state == Running && r.answer == nil {
		return Lost
	}
	return r.state
}

// answer is the answer of an attempt so far. It refers to the chunks passed to
// Append.
type answer struct {
	chunks [][]byte
	size   int64
	end    *End
}

// read returns the chunks from offset on. The first may be part of a chunk.
func (a *answer) read(offset int64) [][]byte {
	var out [][]byte
	start := int64(0)
	for _, c := range a.chunks {
		stop := start + int64(len(c))
		if stop > offset {
			out = append(out, c[max(0, offset-start):])
		}
		start = stop
	}
	return out
}

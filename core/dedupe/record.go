package dedupe

import (
	"time"

	"radishwell/core"
)

// State is where an attempt stands at its agent. The numbers are those of
// SealReply on the wire.
type State uint8

// States of an attempt.
const (
	// Sealed: the attempt has not run here and never will.
	Sealed State = iota
	// Running: the attempt was accepted and has not ended. It may be waiting in
	// the agent's queue; its answer can be attached to.
	Running
	// Done: the attempt has ended and its answer is kept. The answer may be a
	// refusal that says "may have run".
	Done
	// Lost: the attempt ran or may have run, and its answer isn't kept. Also the
	// answer about attempts that a predecessor of this agent had accepted.
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
	// Expires is when the claim ages out; it is past the request's deadline.
	Expires time.Time
	// Deadline is the request's own.
	Deadline time.Time
}

// End is how an attempt ended. A nil Refusal is a whole answer.
type End struct {
	Refusal *core.Refusal
}

// record is what the table knows of one key: its latest attempt here.
type record struct {
	attempt     uint64
	fingerprint core.Fingerprint
	state       State
	expires     time.Time
	answer      *answer
	// refusal is why the attempt was sealed, where the agent itself refused it.
	refusal *core.Refusal
	// turn orders finished answers by age for eviction; zero while running.
	turn uint64
}

// standing is the state as askers see it: a running attempt whose answer grew
// past the bound has an answer that nobody else can get whole.
func (r *record) standing() State {
	if r.state == Running && r.answer == nil {
		return Lost
	}
	return r.state
}

// answer is what an attempt has produced so far. Chunks are kept by reference.
type answer struct {
	chunks [][]byte
	size   int64
	end    *End
}

// read returns the chunks after offset; the first may be a part of a chunk.
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

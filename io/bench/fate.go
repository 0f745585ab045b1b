package bench

import (
	"time"

	"radishwell/core"
)

// fate is the way in which a request ended from the point of view of its caller.
type fate uint8

// Fates. The first three are outcomes that the system reports.
const (
	// done: the caller received the complete answer to its request.
	done fate = iota
	// refused: the answer has the outcome not-run.
	refused
	// mayHaveRun: the answer has the outcome may-have-run.
	mayHaveRun
	// unreached: no entry accepted a connection before the deadline, so the
	// request was never sent.
	unreached
	// killed: the connection broke because the entry process was killed.
	killed
	// cut: the connection broke before an outcome arrived.
	cut
	// unanswered: the answer wasn't complete at the end of the grace period after
	// the deadline.
	unanswered
	// unmarked: the answer was complete but had no outcome.
	unmarked
	// wrong: the answer has the outcome done but isn't the complete answer to the
	// request.
	wrong
	fateCount
)

var fateNames = [fateCount]string{
	"done", "not-run", "may-have-run", "unreached", "entry-killed", "cut", "unanswered", "unmarked", "wrong-answer",
}

// String returns the name of the fate as in reports.
func (f fate) String() string { return fateNames[f] }

// silent reports whether the caller received no outcome.
func (f fate) silent() bool { return f == cut || f == unanswered || f == unmarked }

// result is the result of one request.
type result struct {
	request *request
	fate    fate
	code    core.Code
	id      core.RequestID
	// entry is the index of the last entry that was tried.
	entry int
	// sent is the time at which the request was sent. first and end are the times
	// at which the first and the last byte of the answer arrived, zero if none did.
	sent, first, end time.Time
	// retryAfter is set if the answer has a Retry-After field.
	retryAfter bool
	// cold is set if no engine had the model loaded when the request was due to be
	// sent. It is valid only if known is set.
	cold, known bool
	// redials counts failed attempts to connect to an entry.
	redials int
	// note describes a failure in more detail.
	note string
}

// incident is a request that the report lists because a reader may want to trace
// it.
type incident struct {
	At    time.Time      `json:"at"`
	After string         `json:"after"`
	Fate  string         `json:"fate"`
	Call  string         `json:"call"`
	Model core.ModelName `json:"model,omitempty"`
	Entry string         `json:"entry,omitempty"`
	ID    core.RequestID `json:"id,omitempty"`
	Note  string         `json:"note,omitempty"`
}

// Maximum number of incidents that a report lists, in total and with the same
// error code. Requests beyond that are still counted.
const (
	maxIncidents = 400
	maxOfCode    = 25
)

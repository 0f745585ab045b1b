package bench

import (
	"time"

	"radishwell/core"
)

// fate is what became of a request, as its caller saw it.
type fate uint8

// Fates. The first three are the system's own outcomes.
const (
	// done: the whole answer came, and it is the request's own.
	done fate = iota
	// refused: an answer that says not-run.
	refused
	// mayHaveRun: an answer that says may-have-run.
	mayHaveRun
	// unreached: no entry took a connection until the deadline; nothing was sent.
	unreached
	// killed: the connection broke when the entry at its other end was killed.
	killed
	// cut: the connection broke without an outcome.
	cut
	// unanswered: no whole answer until the deadline and the grace after it.
	unanswered
	// unmarked: a whole answer without an outcome.
	unmarked
	// wrong: an answer marked done that is not the request's own whole answer.
	wrong
	fateCount
)

var fateNames = [fateCount]string{
	"done", "not-run", "may-have-run", "unreached", "entry-killed", "cut", "unanswered", "unmarked", "wrong-answer",
}

// String returns the fate's name in reports.
func (f fate) String() string { return fateNames[f] }

// silent tells whether the caller was left without an outcome.
func (f fate) silent() bool { return f == cut || f == unanswered || f == unmarked }

// result is what became of one request.
type result struct {
	shot *shot
	fate fate
	code core.Code
	id   core.RequestID
	// entry is the index of the entry that took the request.
	entry int
	// sent is when the tool sent it; first and end are when the first byte and
	// the last of the answer came, zero where none did.
	sent, first, end time.Time
	// retryAfter tells that the answer named a time for another try.
	retryAfter bool
	// cold tells that no engine had the model loaded when the request was due to
	// be sent; known tells that this was looked at.
	cold, known bool
	// redials counts entries that refused the connection.
	redials int
	// note says more of a failure.
	note string
}

// incident is a request whose fate a reader of the report will want to trace.
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

// Bounds of what a report lists, in all and of one code; the counts go on.
const (
	maxIncidents = 400
	maxOfCode    = 25
)

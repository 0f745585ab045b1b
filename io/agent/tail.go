package agent

import (
	"bytes"
	"mime"
	"net/http"

	"radishwell/core"
)

const (
	// tailSize is how many of an answer's last bytes are kept, more than any
	// terminator that is checked for.
	tailSize = 64
	// doneMark is the last event of an OpenAI stream.
	doneMark = "data: [DONE]"
	bodyEnd  = "}"
)

// tail detects answers of an engine that were cut off.
//
// An engine that is being stopped may close its connections properly midway
// through an answer. HTTP then shows a regular end, and the caller would get half
// an answer marked as complete. Answers in the OpenAI formats have their own
// terminator: the last event of a stream, the closing brace of an object. Answers
// of a plain service have none besides HTTP's.
type tail struct {
	want string
	last []byte
}

// tailOf returns a tail that checks for the terminator of the answer's format.
func tailOf(answer core.Answer, plain bool) tail {
	if plain || answer.Status != http.StatusOK {
		return tail{}
	}
	kind, _, _ := mime.ParseMediaType(http.Header(answer.Header).Get("Content-Type"))
	switch kind {
	case "text/event-stream":
		return tail{want: doneMark}
	case "application/json":
		return tail{want: bodyEnd}
	}
	return tail{}
}

// add appends the answer's next bytes.
func (t *tail) add(p []byte) {
	if t.want == "" {
		return
	}
	t.last = append(t.last, p[max(0, len(p)-tailSize):]...)
	t.last = append(t.last[:0], t.last[max(0, len(t.last)-tailSize):]...)
}

// check returns an UnfinishedError if the answer that ended is not complete.
func (t *tail) check() error {
	if bytes.HasSuffix(bytes.TrimSpace(t.last), []byte(t.want)) {
		return nil
	}
	return &UnfinishedError{Want: t.want}
}

// UnfinishedError reports an answer that ended without its format's terminator.
type UnfinishedError struct{ Want string }

// Error implements error.
func (e *UnfinishedError) Error() string { return "the answer ended without " + e.Want }

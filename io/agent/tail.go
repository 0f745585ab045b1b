package agent

import (
	"bytes"
	"mime"
	"net/http"

	"radishwell/core"
)

const (
	// tailSize is more than the end of any answer that is looked at.
	tailSize = 64
	// doneMark is the last event of an OpenAI stream.
	doneMark = "data: [DONE]"
	bodyEnd  = "}"
)

// tail tells a whole answer of an engine from one that was cut off.
//
// An engine that is told to stop may end its connections in good order midway
// through an answer. HTTP then shows an end like any other, and the caller would
// take half an answer, marked done, for the whole. Answers of the OpenAI formats
// show their own end: a stream by its last event, an object by its brace. The
// end of a plain service's answer is HTTP's alone.
type tail struct {
	want string
	last []byte
}

// tailOf returns what an answer must end with.
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

// add takes the answer's next bytes.
func (t *tail) add(p []byte) {
	if t.want == "" {
		return
	}
	t.last = append(t.last, p[max(0, len(p)-tailSize):]...)
	t.last = append(t.last[:0], t.last[max(0, len(t.last)-tailSize):]...)
}

// check tells whether the answer that ended is whole; its error is an
// UnfinishedError.
func (t *tail) check() error {
	if bytes.HasSuffix(bytes.TrimSpace(t.last), []byte(t.want)) {
		return nil
	}
	return &UnfinishedError{Want: t.want}
}

// UnfinishedError reports an answer that ended without its format's last mark.
type UnfinishedError struct{ Want string }

// Error implements error.
func (e *UnfinishedError) Error() string { return "the answer ended without " + e.Want }

package agent

import (
	"bytes"
	"mime"
	"net/http"

	"radishwell/core"
	"radishwell/core/stream"
)

const (
	// tailSize is how many of an answer's last bytes are kept, more than any
	// terminator that is checked for.
	tailSize = 64
	// doneMark is the last event of an OpenAI stream.
	doneMark = "data: [DONE]"
)

// tail detects answers of an engine that were cut off.
//
// An engine that is being stopped may close its connections properly midway
// through an answer. HTTP then shows a regular end, and the caller would get half
// an answer marked as complete. Answers in the OpenAI formats have their own
// terminator: the last event of a stream, the brace that closes the outermost object. Answers
// of a plain service have none besides HTTP's, but its streams end between two events.
type tail struct {
	want string
	last []byte
	// isDocument is set if the answer is a JSON object, and document where it has been read to.
	isDocument bool
	document   stream.Document
	// events is set if the answer is a stream of a plain service, and position where its
	// events have been read to.
	events   bool
	position stream.Position
}

// tailOf returns a tail that checks for the terminator of the answer's format.
func tailOf(answer core.Answer, plain bool) tail {
	if answer.Status != http.StatusOK {
		return tail{}
	}
	kind, _, _ := mime.ParseMediaType(http.Header(answer.Header).Get("Content-Type"))
	switch {
	case kind == "text/event-stream":
		if plain {
			return tail{events: true}
		}
		return tail{want: doneMark}
	case kind == "application/json" && !plain:
		return tail{isDocument: true}
	}
	return tail{}
}

// ends reports whether the answer's format has a terminator.
func (t *tail) ends() bool { return t.want != "" || t.isDocument }

// add appends the answer's next bytes.
func (t *tail) add(p []byte) {
	if t.events {
		t.position.Add(p)
	}
	if t.isDocument {
		t.document.Add(p)
	}
	if t.want == "" {
		return
	}
	t.last = append(t.last, p[max(0, len(p)-tailSize):]...)
	t.last = append(t.last[:0], t.last[max(0, len(t.last)-tailSize):]...)
}

// check returns an UnfinishedError if the answer that ended is not complete.
func (t *tail) check() error {
	switch {
	case t.events && t.position.InsideEvent():
		return &UnfinishedError{Want: "the end of its last event"}
	case t.isDocument && !t.document.ObjectEnds():
		return &UnfinishedError{Want: "the end of its object"}
	case t.want != "" && !t.endsWithMark():
		return &UnfinishedError{Want: t.want}
	}
	return nil
}

// endsWithMark reports whether the last event is the one that is wanted, to its blank line. The text
// of an event may contain it, but no line end.
func (t *tail) endsWithMark() bool {
	at := bytes.LastIndex(t.last, []byte(t.want))
	if at < 0 || at > 0 && t.last[at-1] != '\n' && t.last[at-1] != '\r' {
		return false
	}
	var end stream.Position
	end.Add(t.last[at:])
	rest := bytes.TrimSpace(t.last[at+len(t.want):])
	return len(rest) == 0 && !end.InsideEvent()
}

// UnfinishedError reports an answer that ended without its format's terminator.
type UnfinishedError struct{ Want string }

// Error implements error.
func (e *UnfinishedError) Error() string { return "the answer ended without " + e.Want }

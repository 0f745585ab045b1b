package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"radishwell/core"
)

// problem is an OpenAI-shaped error document.
type problem struct {
	Error problemBody `json:"error"`
}

type problemBody struct {
	Message   string         `json:"message"`
	Type      string         `json:"type"`
	Code      core.Code      `json:"code"`
	Param     *string        `json:"param"`
	Outcome   core.Outcome   `json:"radishwell-outcome"`
	RequestID core.RequestID `json:"request-id"`
}

func document(r *core.Refusal, id core.RequestID) []byte {
	p := problem{Error: problemBody{
		Message: r.Reason, Type: r.Code.Info().Type, Code: r.Code, Outcome: r.Outcome, RequestID: id,
	}}
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	return raw
}

// mayRepeat tells a client's library whether to try again by itself: only what
// certainly did not run and can pass later.
func mayRepeat(r *core.Refusal) bool { return r.Outcome == core.NotRun && r.Code.Info().Retryable }

// writeRefusal writes an answer that consists of a refusal.
func writeRefusal(w http.ResponseWriter, r *core.Refusal, id core.RequestID, now time.Time) {
	h := w.Header()
	h.Set(HeaderOutcome, r.Outcome.String())
	h.Set(HeaderRequestID, string(id))
	h.Set(headerType, "application/json")
	h.Set(headerShouldRetry, strconv.FormatBool(mayRepeat(r)))
	if r.Code == core.CodeBadKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if mayRepeat(r) {
		h.Set(headerRetryAfter, strconv.Itoa(retrySeconds(r, now)))
	}
	w.WriteHeader(r.Code.Info().Status)
	// An error here is the caller's going away; there is nobody left to tell.
	_, _ = w.Write(document(r, id))
}

// retrySeconds rounds up, so that a caller that obeys does not come too early.
func retrySeconds(r *core.Refusal, now time.Time) int {
	left := r.RetryAt.Sub(now)
	if left <= 0 {
		return 1
	}
	return int((left + time.Second - 1) / time.Second)
}

// Answer writes one answer to a caller. The entry calls Head once, Data any
// number of times and one of Done and Fail at the end; Fail alone is a refusal.
type Answer struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	id     core.RequestID
	clock  core.Clock
	stream bool
	events bool
	headed bool
	ended  bool
	held   []byte
	status int
	header http.Header
}

// Begun tells whether any part of the answer has been written to the caller,
// after which the request cannot be tried elsewhere.
func (a *Answer) Begun() bool { return a.headed }

// Head takes the upstream's status and header.
func (a *Answer) Head(status int, header http.Header) {
	a.status = status
	a.header = endToEnd(header)
	if a.stream {
		a.writeHead(true)
	}
}

// Data takes a piece of the body. An answer that is not streamed is held until
// Done, so that a failure midway becomes a proper error and not half an answer.
func (a *Answer) Data(p []byte) error {
	if !a.stream {
		a.held = append(a.held, p...)
		if len(a.held) > maxHeld {
			a.stream = true
			a.writeHead(true)
			p, a.held = a.held, nil
		} else {
			return nil
		}
	}
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.flush.Flush()
}

// maxHeld is the most of an answer that is held; a longer one is streamed.
const maxHeld = 1 << 20

// Reset forgets what was held, for another attempt. Begun must be false.
func (a *Answer) Reset() { a.held, a.status, a.header = nil, 0, nil }

// writeHead sends status and header; the outcome follows as a trailer where it
// is not known yet.
func (a *Answer) writeHead(open bool) {
	a.headed = true
	h := a.w.Header()
	for name, values := range a.header {
		if name == HeaderOutcome || name == HeaderRequestID {
			continue
		}
		h[name] = values
	}
	h.Set(HeaderRequestID, string(a.id))
	if open {
		h.Del("Content-Length")
		h.Set("Trailer", HeaderOutcome)
	} else {
		h.Set(HeaderOutcome, core.Done.String())
		if len(a.held) > 0 {
			h.Set("Content-Length", strconv.Itoa(len(a.held)))
		}
	}
	a.w.WriteHeader(a.status)
}

// Done ends a whole answer.
func (a *Answer) Done() {
	if a.ended {
		return
	}
	a.ended = true
	if a.headed {
		a.w.Header().Set(HeaderOutcome, core.Done.String())
		return
	}
	a.writeHead(false)
	_, _ = a.w.Write(a.held)
}

// Fail ends the answer with a refusal. Where part of it was already sent, the
// refusal is the last event of a stream of events and the outcome a trailer;
// any other stream is cut, so that half a body is never taken for a whole one.
func (a *Answer) Fail(r *core.Refusal) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.headed {
		writeRefusal(a.w, r, a.id, a.clock.Now())
		return
	}
	a.w.Header().Set(HeaderOutcome, r.Outcome.String())
	if !a.events {
		panic(http.ErrAbortHandler)
	}
	_, _ = a.w.Write(append(append([]byte("data: "), document(r, a.id)...), "\n\n"...))
}

package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"radishwell/core"
	"radishwell/io/httpd"
)

// errorDocument is an error document in the format of the OpenAI API.
type errorDocument struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message   string         `json:"message"`
	Type      string         `json:"type"`
	Code      core.Code      `json:"code"`
	Param     *string        `json:"param"`
	Outcome   core.Outcome   `json:"radishwell-outcome"`
	RequestID core.RequestID `json:"request-id"`
}

func encodeRefusal(r *core.Refusal, id core.RequestID) []byte {
	p := errorDocument{Error: errorBody{
		Message: r.Reason, Type: r.Code.Info().Type, Code: r.Code, Outcome: r.Outcome, RequestID: id,
	}}
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	return raw
}

// retryable reports whether client libraries should retry on their own. They
// should only if the request certainly did not run and a later attempt can
// succeed.
func retryable(r *core.Refusal) bool { return r.Outcome == core.NotRun && r.Code.Info().Retryable }

// writeRefusal writes r as the whole answer: status, header and error document.
func writeRefusal(w http.ResponseWriter, r *core.Refusal, id core.RequestID, now time.Time) {
	h := w.Header()
	h.Set(HeaderOutcome, r.Outcome.String())
	h.Set(HeaderRequestID, string(id))
	h.Set(headerType, "application/json")
	h.Set(headerShouldRetry, strconv.FormatBool(retryable(r)))
	if r.Code == core.CodeBadKey {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if retryable(r) {
		h.Set(headerRetryAfter, strconv.Itoa(retrySeconds(r, now)))
	}
	w.WriteHeader(r.Code.Info().Status)
	// A write fails only if the caller has disconnected, so the error is ignored.
	_, _ = w.Write(encodeRefusal(r, id))
}

// retrySeconds returns the value of Retry-After, at least 1. It rounds up, so
// that a caller that waits that long does not retry too early.
func retrySeconds(r *core.Refusal, now time.Time) int {
	left := r.RetryAt.Sub(now)
	if left <= 0 {
		return 1
	}
	return int((left + time.Second - 1) / time.Second)
}

// Answer writes one answer to a caller. The entry calls Head once, Data any
// number of times, and at the end either Done or Fail. A refusal consists of a
// call of Fail alone.
type Answer struct {
	w     http.ResponseWriter
	r     *http.Request
	flush *http.ResponseController
	id    core.RequestID
	clock core.Clock
	// stream is set if Data writes to the caller at once instead of buffering.
	stream bool
	// events is set if the target is a model, whose streams consist of server-sent
	// events.
	events      bool
	headWritten bool
	// unframed is set if the upstream's answer has no framing, and chunks if the caller
	// knows chunks, which HTTP/1.0 does not. open is set while the answer that is written has
	// neither a length nor chunks.
	unframed, chunks, open bool
	ended                  bool
	buffered               []byte
	status                 int
	header                 http.Header
}

// Begun reports whether any part of the answer has been written to the caller,
// after which the request can't be retried on another host.
func (a *Answer) Begun() bool { return a.headWritten }

// Head sets the status and header received from the upstream. It writes them at
// once if the answer is streamed. unframed is set if nothing but its connection ends the
// upstream's answer. The caller's then ends in the same way, and its outcome is
// core.MayHaveRun, since the end does not tell whether the whole answer came.
func (a *Answer) Head(status int, header http.Header, unframed bool) {
	a.status, a.unframed = status, unframed
	a.header = endToEnd(header)
	if a.stream {
		a.writeHead(true)
	}
}

// Data appends p to the body. An answer that is not streamed is buffered until
// Done, so that a failure midway becomes an error answer instead of a truncated
// body. An error means that the caller has disconnected.
func (a *Answer) Data(p []byte) error {
	if !a.stream {
		a.buffered = append(a.buffered, p...)
		if len(a.buffered) > maxBuffered {
			a.stream = true
			a.writeHead(true)
			p, a.buffered = a.buffered, nil
		} else {
			return nil
		}
	}
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.flush.Flush()
}

// maxBuffered is the number of bytes up to which an answer is buffered; a longer
// answer is streamed.
const maxBuffered = 1 << 20

// Reset discards the buffered answer before another attempt. Begun must be false.
func (a *Answer) Reset() { a.buffered, a.status, a.header, a.unframed = nil, 0, nil, false }

// writeHead writes the status and header. If open is set, the answer is
// streamed: its outcome isn't known yet and follows in a trailer.
func (a *Answer) writeHead(open bool) {
	a.headWritten = true
	if a.open = a.unframed || open && !a.chunks; a.open {
		httpd.BeginUnframed(a.r)
	}
	h := a.w.Header()
	for name, values := range a.header {
		if name == HeaderOutcome || name == HeaderRequestID {
			continue
		}
		h[name] = values
	}
	h.Set(HeaderRequestID, string(a.id))
	switch {
	case a.unframed:
		h.Set(HeaderOutcome, core.MayHaveRun.String())
		h.Set("Transfer-Encoding", "identity") // net/http then closes the connection after the body
	case open:
		h.Del("Content-Length")
		h.Set("Trailer", HeaderOutcome)
	default:
		h.Set(HeaderOutcome, core.Done.String())
		if len(a.buffered) > 0 {
			h.Set("Content-Length", strconv.Itoa(len(a.buffered)))
		}
	}
	a.w.WriteHeader(a.status)
}

// Done ends a complete answer. It does nothing after Done or Fail.
func (a *Answer) Done() {
	if a.ended {
		return
	}
	a.ended = true
	defer a.end()
	if a.headWritten {
		if !a.unframed {
			a.w.Header().Set(HeaderOutcome, core.Done.String())
		}
		return
	}
	a.writeHead(false)
	_, _ = a.w.Write(a.buffered)
}

// end ends an answer that was written whole.
func (a *Answer) end() {
	if a.open {
		httpd.EndUnframed(a.w, a.r)
	}
}

// Fail ends the answer with a refusal; it does nothing after Done or Fail. If
// part of the answer of a model was already sent, the refusal becomes the last
// event of the stream and the outcome a trailer. The answer of a plain service is
// aborted instead (by a panic with http.ErrAbortHandler), so that no caller takes
// a truncated body for a whole one.
func (a *Answer) Fail(r *core.Refusal) {
	if a.ended {
		return
	}
	a.ended = true
	if !a.headWritten {
		writeRefusal(a.w, r, a.id, a.clock.Now())
		return
	}
	a.w.Header().Set(HeaderOutcome, r.Outcome.String())
	if !a.events {
		httpd.Abort(a.w, a.open)
		return
	}
	_, _ = a.w.Write(append(append([]byte("data: "), encodeRefusal(r, a.id)...), "\n\n"...))
	a.end()
}

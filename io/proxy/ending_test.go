package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/platform/stand"
)

// addStream starts an engine that streams eight events, with a fault.
func (r *rig) addStream(t *testing.T, id string, unframed bool, fault stand.WorkerFault) *stand.Worker {
	t.Helper()
	w := r.add(t, "llm", &stand.Worker{ID: id, Events: 8})
	w.SetUnframed(unframed)
	w.SetFault(fault)
	return w
}

// askStream returns a caller's request for a stream.
func (r *rig) askStream(t *testing.T, path, id string) *http.Request {
	t.Helper()
	return r.ask(t, http.MethodPost, path, id, "X-Radishwell-Model", "m")
}

// wantUnframed checks that an answer ended with its connection.
func wantUnframed(t *testing.T, a answer, status int, body string) {
	t.Helper()
	wantStatus(t, a, status)
	assert.Equal(t, a.body, body)
	assert.Equal(t, a.framing, core.Unframed)
}

// continued sends requests until one was begun by the first host and continued by the second,
// and returns its answer.
func (r *rig) continued(t *testing.T, first, second *stand.Worker) answer {
	t.Helper()
	for i := range 20 {
		id := fmt.Sprint("q-", i)
		a := do(t, r.askStream(t, "/resumed/x", id))
		if first.Ran(id) > 0 && second.Ran(id) > 0 {
			return a
		}
	}
	t.Fatal("no stream was continued")
	return answer{}
}

// wantCut checks that an answer with so many events was visibly broken off.
func wantCut(t *testing.T, a answer, events int) {
	t.Helper()
	assert.Assert(t, a.cut, "%+v", a)
	assert.Equal(t, a.body, eventsOf(events))
}

// Guards against a stream that ends inside an event and reaches its caller as complete: the end
// of an upstream's connection was taken for the end of its answer.
func TestStreamEndingInsideEventIsBrokenOff(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		t.Run(fmt.Sprint("unframed ", unframed), func(t *testing.T) {
			t.Run("its caller sees that", func(t *testing.T) {
				r := newRig(t)
				r.addStream(t, "i-1", unframed, stand.EndsInsideEvent)
				wantCut(t, do(t, r.askStream(t, "/stream/x", "q")), 4)
			})
			t.Run("in its first event it is no success", func(t *testing.T) {
				r := newRig(t)
				r.addStream(t, "i-1", unframed, stand.EndsInsideEvent).Events = 1
				wantStatus(t, do(t, r.askStream(t, "/stream/x", "q")), http.StatusBadGateway)
			})
			t.Run("another host continues it", func(t *testing.T) {
				r := newRig(t)
				r.addStream(t, "i-1", unframed, stand.EndsInsideEvent)
				r.addStream(t, "i-2", false, stand.NoFault)
				for i := range 4 {
					a := do(t, r.askStream(t, "/resumed/x", fmt.Sprint("q-", i)))
					wantStatus(t, a, http.StatusOK)
					assert.Equal(t, a.body, eventsOf(8))
				}
			})
			t.Run("also where the host that continues it breaks off", func(t *testing.T) {
				r := newRig(t)
				r.addStream(t, "i-1", unframed, stand.EndsInsideEvent)
				r.addStream(t, "i-2", unframed, stand.EndsInsideEvent)
				wantCut(t, do(t, r.askStream(t, "/resumed/x", "q")), 4)
			})
		})
	}
}

// Guards against an answer that promises its caller an end that the upstream did not promise: a
// connection that is closed after an event, or within a plain body, looks the same after a
// complete answer and after one that was broken off.
func TestUnframedAnswerStaysUnframed(t *testing.T) {
	t.Run("a stream that ends after an event", func(t *testing.T) {
		r := newRig(t)
		r.addStream(t, "i-1", true, stand.EndsAfterEvent)
		wantUnframed(t, do(t, r.askStream(t, "/stream/x", "q")), http.StatusOK, eventsOf(4))
	})
	t.Run("a complete stream is delivered", func(t *testing.T) {
		r := newRig(t)
		r.addStream(t, "i-1", true, stand.NoFault)
		wantUnframed(t, do(t, r.askStream(t, "/stream/x", "q")), http.StatusOK, eventsOf(8))
	})
	t.Run("a whole answer is delivered", func(t *testing.T) {
		r := newRig(t)
		plain(t, r, "p-1")[0].SetUnframed(true)
		for _, path := range []string{"/once/x", "/again/x"} {
			wantUnframed(t, do(t, r.ask(t, http.MethodPost, path, "q")), http.StatusOK, "answer of p-1")
		}
	})
	t.Run("a failure that is passed on", func(t *testing.T) {
		r := newRig(t)
		for _, w := range plain(t, r, "p-1", "p-2") {
			w.SetUnframed(true)
			w.SetFault(stand.ServerError)
		}
		for _, path := range []string{"/once/x", "/again/x"} {
			wantUnframed(t, do(t, r.ask(t, http.MethodGet, path, "q")), http.StatusInternalServerError, "")
		}
	})
	t.Run("a stream that another host continues", func(t *testing.T) {
		r := newRig(t)
		first, second := r.addStream(t, "i-1", true, stand.EndsInsideEvent), r.addStream(t, "i-2", false, stand.NoFault)
		wantUnframed(t, r.continued(t, first, second), http.StatusOK, eventsOf(8))
	})
	t.Run("framed answers keep their framing", func(t *testing.T) {
		r := newRig(t)
		plain(t, r, "p-1")
		r.addStream(t, "i-1", false, stand.NoFault)
		assert.Equal(t, do(t, r.ask(t, http.MethodGet, "/again/x", "q-1")).framing, core.FramedByLength)
		assert.Equal(t, do(t, r.askStream(t, "/stream/x", "q-2")).framing, core.FramedByChunks)
	})
}

// Guards against a broken answer that looks complete since neither side of the entry has framing.
func TestBrokenUnframedAnswerIsReset(t *testing.T) {
	t.Run("a stream", func(t *testing.T) {
		r := newRig(t)
		r.addStream(t, "i-1", true, stand.ResetMidway)
		wantCut(t, do(t, r.askStream(t, "/stream/x", "q")), 4)
	})
	t.Run("a stream before its first event", func(t *testing.T) {
		r := newRig(t)
		r.addStream(t, "i-1", true, stand.EndsAfterEvent).Events = 1
		wantStatus(t, do(t, r.askStream(t, "/stream/x", "q")), http.StatusBadGateway)
	})
	t.Run("a stream before its first event, whose caller names one", func(t *testing.T) {
		r := newRig(t)
		r.addStream(t, "i-1", true, stand.EndsAfterEvent).Events = 1
		req := r.askStream(t, "/stream/x", "q")
		req.Header.Set("Last-Event-Id", "4")
		wantStatus(t, do(t, req), http.StatusBadGateway)
	})
	t.Run("a whole answer", func(t *testing.T) {
		r := newRig(t)
		w := plain(t, r, "p-1")[0]
		w.SetUnframed(true)
		w.SetFault(stand.ResetMidway)
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q")), http.StatusBadGateway)
	})
	t.Run("a caller that knows no chunks", func(t *testing.T) {
		r := newRig(t)
		r.addStream(t, "i-1", false, stand.Truncated)
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /stream/x HTTP/1.0\r\nHost: a.example\r\nX-Radishwell-Request-Id: q\r\nX-Radishwell-Model: m\r\n\r\n")
		assert.NilError(t, err)
		text, err := io.ReadAll(conn)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		assert.Assert(t, strings.HasSuffix(string(text), eventsOf(4)), "%q", text)
	})
}

// Guards against a continued stream that ends as complete although the host that continued it
// only closed its connection.
func TestContinuedStreamEndsAsCompleteOnlyIfItIs(t *testing.T) {
	r := newRig(t)
	first, second := r.addStream(t, "i-1", false, stand.Truncated), r.addStream(t, "i-2", true, stand.NoFault)
	wantCut(t, r.continued(t, first, second), 8)
}

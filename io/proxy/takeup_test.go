package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/platform/stand"
)

// fixed is an upstream that answers each request with the same events, whatever the caller resumes.
type fixed struct {
	id, events string
	// requests counts those that it ran.
	requests atomic.Int32
}

// ServeHTTP implements http.Handler.
func (f *fixed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requests.Add(1)
	w.Header().Set("X-Radishwell-Request-Id", r.Header.Get("X-Radishwell-Request-Id"))
	w.Header().Set("X-Radishwell-Server-Signature", "signed-by-"+f.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte(f.events))
}

// addFixed starts an upstream that answers with some events, and registers it.
func (r *rig) addFixed(t *testing.T, id, events string) *fixed {
	t.Helper()
	f := &fixed{id: id, events: events}
	r.register(t, id, f)
	return f
}

// register starts an upstream with models and registers it.
func (r *rig) register(t *testing.T, id string, h http.Handler) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	r.Update(func(v *fleet.View, _ time.Time) {
		v.Apply(fleet.Entry{
			ID: core.HostName(id), Service: "llm", Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Usable: true, DataCentre: "dc-1",
			Slots: 6, Models: []core.HeldModel{{Model: "m"}},
		})
	})
}

// eventsBetween returns the events with the ids from first to last.
func eventsBetween(first, last int) string {
	return strings.TrimPrefix(eventsOf(last), eventsOf(first-1))
}

// Guards against a stream that its caller takes up and gets with a piece missing or twice, since the upstream
// began at another event than the one after Last-Event-Id.
func TestTakeUpFollowsItsLastEvent(t *testing.T) {
	takeUp := func(t *testing.T, r *rig, path, after string) answer {
		t.Helper()
		req := r.askStream(t, path, "next")
		req.Header.Set("Last-Event-Id", after)
		req.Header.Set("Resumes", "first")
		return do(t, req)
	}
	for name, first := range map[string]int{"the beginning": 1, "the last event": 4, "an event that is not the next": 6} {
		t.Run("an upstream begins at "+name, func(t *testing.T) {
			r := newRig(t)
			wrong := r.addFixed(t, "i-1", eventsBetween(first, 8))
			a := takeUp(t, r, "/resumed/x", "4")
			assert.Assert(t, a.cut || a.status == http.StatusBadGateway, "%+v", a)
			assert.Assert(t, !strings.Contains(a.body, "data: event"), "%+v", a)
			assert.Assert(t, wrong.requests.Load() > 0)
		})
		t.Run("another upstream goes on where one begins at "+name, func(t *testing.T) {
			r := newRig(t)
			wrong := r.addFixed(t, "i-1", eventsBetween(first, 8))
			var right *stand.Worker
			for n := range 8 {
				if a := takeUp(t, r, "/resumed/x", "4"); n == 0 {
					assert.Assert(t, a.cut || a.status == http.StatusBadGateway, "%+v", a)
					right = r.addStream(t, "i-2", false, stand.NoFault)
				} else {
					wantStatus(t, a, http.StatusOK)
					assert.Equal(t, a.body, eventsBetween(5, 8))
				}
			}
			assert.Assert(t, right.Ran("next") > 0 && wrong.requests.Load() > 0)
		})
	}
	for name, c := range map[string]struct{ after, events string }{
		"the next event is the first":           {"4", eventsBetween(5, 8)},
		"nothing follows the last event":        {"8", ""},
		"no event has come yet":                 {"0", eventsOf(8)},
		"ids that are no numbers":               {"a-4", "id: a-5\ndata: x\n\nid: b\ndata: y\n\n"},
		"events without ids":                    {"4", "data: x\n\ndata: y\n\n"},
		"a number that is too large to compare": {strings.Repeat("9", 30), eventsOf(2)},
	} {
		t.Run("is forwarded where "+name, func(t *testing.T) {
			r := newRig(t)
			r.addFixed(t, "i-1", c.events)
			a := takeUp(t, r, "/resumed/x", c.after)
			wantStatus(t, a, http.StatusOK)
			assert.Equal(t, a.body, c.events)
		})
	}
	t.Run("is a new run where streams may not be resumed", func(t *testing.T) {
		r := newRig(t)
		r.addFixed(t, "i-1", eventsOf(8))
		a := takeUp(t, r, "/stream/x", "4")
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(8))
	})
}

// breaking is an upstream that sends some bytes of a stream and resets the connection, whatever the caller
// resumes.
type breaking struct{ id, beginning string }

// ServeHTTP implements http.Handler.
func (b breaking) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Radishwell-Request-Id", r.Header.Get("X-Radishwell-Request-Id"))
	w.Header().Set("X-Radishwell-Server-Signature", "signed-by-"+b.id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = w.Write([]byte(b.beginning))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against events that come twice since a stream goes on elsewhere after events without ids: its next host
// cannot know that its caller has them.
func TestStreamGoesOnOnlyAfterAnID(t *testing.T) {
	const id4 = "id: 4\ndata: event 4\n\n"
	for name, beginning := range map[string]string{
		"no event had an id":        "data: a\n\ndata: b\n\n",
		"the last event had none":   eventsOf(4) + "data: a\n\n",
		"the last events had none":  eventsOf(4) + "data: a\n\nevent: b\n\n",
		"the last id fits no field": eventsOf(4) + "id: 5\x01\ndata: a\n\n",
	} {
		t.Run("not where "+name, func(t *testing.T) {
			r := newRig(t)
			r.register(t, "i-1", breaking{"i-1", beginning})
			r.addFixed(t, "i-2", eventsBetween(5, 8))
			broken := 0
			for range 8 {
				a := do(t, r.askStream(t, "/resumed/x", "q"))
				if a.header.Get("X-Radishwell-Server-Signature") == "signed-by-i-1" {
					assert.Assert(t, a.cut && a.body == beginning, "%+v", a)
					broken++
				}
			}
			assert.Assert(t, broken > 0)
		})
	}
	for name, beginning := range map[string]string{
		"lines end with CR":                   strings.ReplaceAll(eventsOf(4), "\n", "\r"),
		"lines end with CRLF":                 strings.ReplaceAll(eventsOf(4), "\n", "\r\n"),
		"an event without an id came before":  eventsBetween(1, 3) + "data: a\n\n" + id4,
		"a comment came after the last event": eventsOf(4) + ": waiting\n",
	} {
		t.Run("also where "+name, func(t *testing.T) {
			r := newRig(t)
			r.register(t, "i-1", breaking{"i-1", beginning})
			r.addFixed(t, "i-2", eventsBetween(5, 8))
			whole := strings.TrimSuffix(beginning, ": waiting\n") + eventsBetween(5, 8)
			continued := 0
			for range 8 {
				a := do(t, r.askStream(t, "/resumed/x", "q"))
				if a.header.Get("X-Radishwell-Server-Signature") == "signed-by-i-1" {
					wantStatus(t, a, http.StatusOK)
					assert.Equal(t, a.body, whole)
					continued++
				}
			}
			assert.Assert(t, continued > 0)
		})
	}
	t.Run("a stream whose lines end with CR only is forwarded", func(t *testing.T) {
		r := newRig(t)
		text := strings.ReplaceAll(eventsOf(8), "\n", "\r")
		r.addFixed(t, "i-1", text)
		a := do(t, r.askStream(t, "/resumed/x", "q"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, text)
	})
	t.Run("a stream whose lines end with CR only and that breaks off is not run anew", func(t *testing.T) {
		r := newRig(t)
		beginning, rest := strings.ReplaceAll(eventsOf(4), "\n", "\r"), strings.ReplaceAll(eventsBetween(5, 8), "\n", "\r")
		r.register(t, "i-1", breaking{"i-1", beginning + "id: 5\rdata: half"})
		r.addFixed(t, "i-2", rest)
		continued := 0
		for range 8 {
			a := do(t, r.askStream(t, "/resumed/x", "q"))
			if a.header.Get("X-Radishwell-Server-Signature") == "signed-by-i-1" {
				wantStatus(t, a, http.StatusOK)
				assert.Equal(t, a.body, beginning+rest)
				continued++
			}
		}
		assert.Assert(t, continued > 0)
	})
}

// takeUpRaw sends a take-up in HTTP/1.0, whose callers know no chunks, and reads the connection to its end.
func (r *rig) takeUpRaw(t *testing.T, id, first string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /resumed/x HTTP/1.0\r\nHost: a.example\r\nX-Radishwell-Request-Id: "+id+
		"\r\nX-Radishwell-Model: m\r\nLast-Event-Id: 2\r\nResumes: "+first+"\r\n\r\n")
	assert.NilError(t, err)
	text, err := io.ReadAll(conn)
	return string(text), err
}

// Guards against a stream that a caller of HTTP/1.0 takes up and that looks complete, or goes on at another version,
// after its upstream broke off.
func TestTakeUpWithoutChunks(t *testing.T) {
	t.Run("is whole", func(t *testing.T) {
		r := newRig(t)
		r.addVersion(t, "i-1", "v1", stand.NoFault)
		text, err := r.takeUpRaw(t, "next", "first")
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(text, "\r\n\r\n"+eventsBetween(3, 8)), "%q", text)
	})
	for _, other := range []core.SoftwareVersion{"", "v1", "v2"} {
		t.Run(fmt.Sprintf("is cut where another upstream has version %q", other), func(t *testing.T) {
			r := newRig(t)
			first := r.addVersion(t, "i-1", "v1", stand.NoFault)
			a, id := r.begun(t, first)
			wantStatus(t, a, http.StatusOK)
			first.SetFault(stand.Truncated)
			if other != "" {
				r.addVersion(t, "i-2", other, stand.NoFault)
			}
			for n := range 4 {
				text, err := r.takeUpRaw(t, fmt.Sprint("next-", n), id)
				if err == nil {
					assert.Equal(t, other, core.SoftwareVersion("v1"))
					assert.Assert(t, strings.HasSuffix(text, "\r\n\r\n"+eventsBetween(3, 8)), "%q", text)
					continue
				}
				assert.ErrorIs(t, err, syscall.ECONNRESET)
				assert.Assert(t, strings.HasSuffix(text, "\r\n\r\n"+eventsBetween(3, 4)), "%q", text)
			}
		})
	}
}

// Guards against a stream that goes on at whatever runs now at the address of an upstream that has gone.
func TestStreamGoesOnAtNoSuccessor(t *testing.T) {
	r := newRig(t)
	first, same := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v1", stand.NoFault)
	_, id := r.begun(t, first)
	successor := &stand.Worker{ID: "i-9", Events: 8}
	successor.SetModels(stand.Held{Name: "m"})
	srv := httptest.NewServer(successor)
	t.Cleanup(srv.Close)
	r.Update(func(v *fleet.View, _ time.Time) {
		e := v.Host("i-1").Entry
		e.Address = netip.MustParseAddrPort(srv.Listener.Addr().String())
		v.Apply(e)
	})
	for i := range 8 {
		next := fmt.Sprint("next-", i)
		a := r.takeUp(t, next, id)
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, eventsOf(4)+a.body, eventsOf(8))
		assert.Assert(t, successor.Ran(next) == 0 && same.Ran(next) == 1)
	}
	assert.Assert(t, len(successor.Requests()) > 0, "no request was sent to the address")
}

// Guards against a take-up that goes on at the version of an earlier stream whose attempt had the same id.
func TestReusedIDNamesItsLastStream(t *testing.T) {
	r := newRig(t)
	first := r.addVersion(t, "i-1", "v1", stand.NoFault)
	wantStatus(t, do(t, r.askPrompt(t, "q")), http.StatusOK)
	first.SetFault(stand.Shed)
	second := r.addVersion(t, "i-2", "v2", stand.NoFault)
	wantStatus(t, do(t, r.askPrompt(t, "q")), http.StatusOK)
	assert.Equal(t, second.Ran("q"), 1)
	first.SetFault(stand.NoFault)
	for i := range 6 {
		next := fmt.Sprint("next-", i)
		wantStatus(t, r.takeUp(t, next, "q"), http.StatusOK)
		assert.Assert(t, first.Ran(next) == 0 && second.Ran(next) == 1)
	}
}

// Guards against a take-up that disturbs the answer that its caller still gets, also where that moves to another
// upstream meanwhile.
func TestTakeUpBesideTheFirstAnswer(t *testing.T) {
	r := newRig(t)
	first, other := r.addVersion(t, "i-1", "v1", stand.Truncated), r.addVersion(t, "i-2", "v2", stand.NoFault)
	first.Gap, other.Gap = 50*time.Millisecond, 50*time.Millisecond
	var resp *http.Response
	id := ""
	for n := 0; id == ""; n++ {
		assert.Assert(t, n < 20, "no stream began at "+first.ID)
		var err error
		resp, err = http.DefaultClient.Do(r.askPrompt(t, fmt.Sprint("q-", n)))
		assert.NilError(t, err)
		defer resp.Body.Close()
		if resp.Header.Get("X-Radishwell-Server-Signature") == "signed-by-"+first.ID {
			id = fmt.Sprint("q-", n)
		}
	}
	beginning := make([]byte, len(eventsOf(2)))
	_, err := io.ReadFull(resp.Body, beginning)
	assert.NilError(t, err)
	same := r.addVersion(t, "i-3", "v1", stand.NoFault)
	ended := make(chan answer, 1)
	go func() {
		req := r.askPrompt(t, "next")
		req.Header.Set("Last-Event-Id", "2")
		req.Header.Set("Resumes", id)
		ended <- do(t, req)
	}()
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(beginning)+string(rest), eventsOf(8))
	a := <-ended
	wantStatus(t, a, http.StatusOK)
	assert.Equal(t, a.body, eventsBetween(3, 8))
	assert.Assert(t, same.Ran(id) == 1, "the first answer has not moved")
	assert.Equal(t, other.Ran(id)+other.Ran("next"), 0)
}

// Guards against a complete answer that is held back or cut: an upstream that ends a stream with chunks in order has
// ended it, whichever event was its last.
func TestUpstreamEndsItsStream(t *testing.T) {
	r := newRig(t)
	r.addStream(t, "i-1", false, stand.EndsAfterEvent)
	for _, path := range []string{"/stream/x", "/resumed/x"} {
		a := do(t, r.askStream(t, path, "q"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(4))
		assert.Equal(t, a.framing, core.FramedByChunks)
	}
}

package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
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
		"no event had an id":       "data: a\n\ndata: b\n\n",
		"the last event had none":  eventsOf(4) + "data: a\n\n",
		"the last events had none": eventsOf(4) + "data: a\n\nevent: b\n\n",
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
	t.Run("a stream whose lines end with CR only is forwarded at its end", func(t *testing.T) {
		r := newRig(t)
		text := strings.ReplaceAll(eventsOf(8), "\n", "\r")
		r.addFixed(t, "i-1", text)
		a := do(t, r.askStream(t, "/resumed/x", "q"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, text)
	})
	t.Run("a stream whose lines end with CR only and that breaks off is run anew", func(t *testing.T) {
		r := newRig(t)
		r.register(t, "i-1", breaking{"i-1", strings.ReplaceAll(eventsOf(4), "\n", "\r")})
		text := strings.ReplaceAll(eventsOf(8), "\n", "\r")
		r.addFixed(t, "i-2", text)
		for range 8 {
			a := do(t, r.askStream(t, "/resumed/x", "q"))
			wantStatus(t, a, http.StatusOK)
			assert.Equal(t, a.body, text)
		}
	})
}

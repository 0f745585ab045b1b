package proxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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

package proxy_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// Guards against requests sent to an upstream that has rejected one and stated for how
// long it wants no others.
func TestUpstreamInBackoffGetsNoMore(t *testing.T) {
	// shed makes p-1 reject a first request and ask for no others for a time.
	shed := func(t *testing.T, backoff time.Duration) (*rig, *stand.Worker) {
		t.Helper()
		r := newRig(t)
		w := plain(t, r, "p-1")[0]
		w.SetFault(stand.Shed)
		w.SetBackoff(backoff)
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "first")), http.StatusServiceUnavailable)
		return r, w
	}
	t.Run("its callers are refused at once with a time to retry", func(t *testing.T) {
		r, w := shed(t, 5*time.Second)
		for i := range 5 {
			a := do(t, r.ask(t, http.MethodPost, "/once/x", fmt.Sprint("q-", i)))
			wantStatus(t, a, http.StatusServiceUnavailable)
			back, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, back > 3 && back <= 5, "%v", back)
		}
		assert.Equal(t, len(w.Requests()), 1)
	})
	t.Run("its callers are served by another", func(t *testing.T) {
		r, w := shed(t, time.Hour)
		other := plain(t, r, "p-2")[0]
		for i := range 5 {
			wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", fmt.Sprint("q-", i))), http.StatusOK)
		}
		assert.Equal(t, len(w.Requests()), 1)
		assert.Equal(t, len(other.Requests()), 5)
	})
	t.Run("a request waits for the end of a short time", func(t *testing.T) {
		r := newRig(t)
		w := plain(t, r, "p-1")[0]
		w.SetFault(stand.Shed)
		w.SetBackoff(300 * time.Millisecond)
		got := make(chan answer, 1)
		go func() { got <- do(t, r.ask(t, http.MethodPost, "/once/x", "q")) }()
		for len(w.Arrivals()) == 0 {
			time.Sleep(time.Millisecond)
		}
		w.SetFault(stand.NoFault)
		wantStatus(t, <-got, http.StatusOK)
		arrivals := w.Arrivals()
		assert.Equal(t, len(arrivals), 2)
		assert.Assert(t, arrivals[1].Sub(arrivals[0]) >= 300*time.Millisecond)
	})
	t.Run("and of a model too", func(t *testing.T) {
		r := newRig(t)
		w := r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 2})
		w.SetFault(stand.Shed)
		w.SetBackoff(time.Hour)
		for i := range 5 {
			a := do(t, r.ask(t, http.MethodPost, "/stream/x", fmt.Sprint("q-", i), "X-Radishwell-Model", "m"))
			wantStatus(t, a, http.StatusServiceUnavailable)
			assert.Assert(t, a.header.Get("Retry-After") != "")
		}
		assert.Equal(t, len(w.Requests()), 1)
	})
}

package proxy_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/platform/stand"
)

// Guards against requests sent to an upstream after it has stated in an answer that it
// is leaving, even if that answer could not be used.
func TestLeavingUpstreamGetsNoMore(t *testing.T) {
	// leavingRig returns a rig with two upstreams, and the first of them, p-1, which has
	// stated in the answer to a request that it is leaving. The fault applies to that
	// answer.
	leavingRig := func(t *testing.T, fault stand.WorkerFault, path string) (*rig, *stand.Worker) {
		t.Helper()
		r := newRig(t)
		service, more := "plain", []string{}
		if path == "/stream/" || path == "/resumed/" {
			service, more = "llm", []string{"X-Radishwell-Model", "m"}
		}
		w := r.add(t, core.ServiceName(service), &stand.Worker{ID: "p-1", Events: 4})
		w.SetFault(fault)
		w.AnnounceLeaving()
		r.add(t, core.ServiceName(service), &stand.Worker{ID: "p-2", Events: 4})
		for n := 0; len(w.Requests()) == 0; n++ {
			do(t, r.ask(t, http.MethodPost, path+"x", fmt.Sprint("first-", n), more...))
		}
		w.SetFault(stand.NoFault)
		return r, w
	}
	for _, path := range []string{"/once/", "/again/", "/stream/", "/resumed/"} {
		for name, fault := range map[string]stand.WorkerFault{
			"whole": stand.NoFault, "rejected": stand.Shed, "failed": stand.ServerError, "not signed": stand.Unsigned,
			"ambiguous": stand.Ambiguous, "cut after its header": stand.HeaderOnly, "cut in the middle": stand.Truncated,
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				r, w := leavingRig(t, fault, path)
				for i := range 8 {
					a := do(t, r.ask(t, http.MethodPost, path+"x", fmt.Sprint("q-", i), "X-Radishwell-Model", "m"))
					wantStatus(t, a, http.StatusOK)
				}
				assert.Equal(t, len(w.Requests()), 1)
			})
		}
	}
	t.Run("without another its callers are refused at once", func(t *testing.T) {
		r := newRig(t)
		w := plain(t, r, "p-1")[0]
		w.AnnounceLeaving()
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "first")), http.StatusOK)
		a := do(t, r.ask(t, http.MethodPost, "/once/x", "q"))
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Equal(t, len(w.Requests()), 1)
	})
}

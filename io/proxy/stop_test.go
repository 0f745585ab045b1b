package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are taken while the process stops, run, and are cut at its end.
func TestRequestThatWouldOutlastStopIsRefused(t *testing.T) {
	ask := func(t *testing.T, r *rig, path, id, deadline string) answer {
		t.Helper()
		return do(t, r.ask(t, http.MethodPost, path, id, "X-Radishwell-Deadline-Ms", deadline))
	}
	r := newRig(t)
	w := plain(t, r, "p-1")[0]
	for i := range 8 {
		wantStatus(t, ask(t, r, "/again/x", fmt.Sprint("known-", i), "9000"), http.StatusOK)
	}
	body, slow := io.Pipe()
	late := make(chan answer, 1)
	go func() {
		req := r.ask(t, http.MethodPost, "/once/x", "slow-body", "X-Radishwell-Deadline-Ms", "9000")
		req.Body, req.ContentLength = body, 1
		late <- do(t, req)
	}()
	r.Drain(time.Now().Add(2*time.Second), time.Now().Add(3*time.Second))
	for name, test := range map[string]struct {
		path, deadline string
		status         int
	}{
		"short by what the route's requests took": {"/again/x", "9000", http.StatusOK},
		"of a route of which nothing is known":    {"/once/x", "9000", http.StatusServiceUnavailable},
		"with a deadline before the end":          {"/once/x", "1000", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			a := ask(t, r, test.path, name, test.deadline)
			wantStatus(t, a, test.status)
			assert.Equal(t, w.Ran(name), map[int]int{http.StatusOK: 1}[a.status])
			if a.status != http.StatusOK {
				assert.Assert(t, a.header.Get("Retry-After") != "")
			}
		})
	}
	_, err := slow.Write([]byte("x"))
	assert.NilError(t, err)
	wantStatus(t, <-late, http.StatusServiceUnavailable)
	assert.Equal(t, w.Ran("slow-body"), 0)
}

package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/proxy"
	"radishwell/platform/stand"
)

// Guards against entries that make no retries, since their hosts, all sound, take longer to answer probes than callers
// are kept waiting for one.
func TestSlowProbesOpenTheGate(t *testing.T) {
	r := newRigSet(t, 0, 500*time.Millisecond, func(p *proxy.Proxy) {
		p.SpareRetries = func(time.Time) float64 { return 3 }
	})
	var ws []*stand.Worker
	for _, id := range []string{"p-1", "p-2"} {
		w := &stand.Worker{ID: id}
		w.SetFault(stand.NoResponse)
		ws = append(ws, r.addServed(t, "plain", w, http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
			if strings.HasPrefix(req.URL.Path, "/-/") {
				time.Sleep(600 * time.Millisecond)
			}
			w.ServeHTTP(out, req)
		})))
	}
	for i, end := 0, time.Now().Add(longTimeout); ; i++ {
		assert.Assert(t, time.Now().Before(end), "no request was given a retry")
		id := fmt.Sprint("q-", i)
		do(t, r.ask(t, http.MethodGet, "/again/x", id))
		if totalRuns(ws, id) == 2 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

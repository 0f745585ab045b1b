package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/platform/stand"
)

// mergeCrashes has the proxy know of crashes of a part, as another entry would send them.
func (r *rig) mergeCrashes(name parts.Name, crashes int) {
	record := parts.Record{Part: name}
	for n := range crashes {
		record.Crashes = append(record.Crashes, parts.Crash{
			Upstream: core.HostName(fmt.Sprint("x-", n)), At: time.Now().Add(-time.Minute + time.Duration(n)*time.Second), Requests: 1,
		})
	}
	r.MergeParts([]parts.Record{record})
}

// Guards against requests that wait at upstreams and begin there long after a part of their prompts was
// refused.
func TestWaitingRequestWithRefusedPartIsWithdrawn(t *testing.T) {
	for _, row := range []struct {
		name    string
		crashes int
		path    string
		// begun is set if the answer has begun when the part is refused.
		begun, withdrawn bool
	}{
		{"waits", 5, "/stream/x", false, true},
		{"waits, may run again", 5, "/resumed/x", false, true},
		{"has begun", 5, "/stream/x", true, false},
		{"few crashes", 4, "/stream/x", false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRig(t)
			r.Trials = &fakeTrials{refuses: true}
			w := &stand.Worker{ID: "i-1", Events: 8, Queue: 600 * time.Millisecond}
			if row.begun {
				w.Queue, w.Gap = 0, 100*time.Millisecond
			}
			r.add(t, "llm", w)
			time.AfterFunc(300*time.Millisecond, func() { r.mergeCrashes("llm/bad", row.crashes) })
			req := r.askStream(t, row.path, "q-1")
			req.Header.Set("X-Radishwell-Prompt-Prefix", "bad:100,own:100")
			a := do(t, req)
			if !row.withdrawn {
				wantStatus(t, a, http.StatusOK)
				assert.Equal(t, a.body, eventsOf(8))
				return
			}
			wantStatus(t, a, http.StatusBadGateway)
			assert.Assert(t, row.path != "/stream/x" || strings.Contains(a.body, "withdrawn"), a.body)
			time.Sleep(500 * time.Millisecond) // it would have begun by now
			assert.Equal(t, w.Ran("q-1"), 0)
		})
	}
}

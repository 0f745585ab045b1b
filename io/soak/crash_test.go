package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// TestSentAfterCrashes checks that a request that crashes upstreams breaks its promise only if
// entries go on to send it.
func TestSentAfterCrashes(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, row := range []struct {
		name string
		// crashes are the times of the arrivals that crashed an upstream.
		crashes []time.Duration
		steps   []Step
		broken  bool
	}{
		{"three crashes", []time.Duration{1, 2, 3}, nil, false},
		{"more while the third is not known yet", []time.Duration{1, 2, 3, 4, 5, 5, 5, 5}, nil, false},
		{"three more later", []time.Duration{1, 2, 3, 7, 8, 9}, nil, false},
		{"four more later", []time.Duration{1, 2, 3, 7, 8, 9, 10}, nil, true},
		{"later, by an entry that was killed", []time.Duration{1, 2, 3, 7, 7, 7, 7}, []Step{{Kind: KillEntry, Begin: 6 * time.Second, End: 6 * time.Second}}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := &signalChecker{start: start, results: map[string]*Result{}, steps: row.steps}
			var seen []stand.ReceivedRequest
			for i, at := range row.crashes {
				id := fmt.Sprint("poison-", i)
				c.results[id] = &Result{ID: id}
				header := http.Header(plat.RequestHeader(core.RequestHead{ID: core.RequestID(id)}, start))
				seen = append(seen, stand.ReceivedRequest{Header: header, At: start.Add(at * time.Second), Crashed: true, CrashedAt: start.Add(at * time.Second)})
			}
			_, broken := c.sentAfterCrashes(seen, maxCrashes)
			assert.Equal(t, broken, row.broken)
		})
	}
}

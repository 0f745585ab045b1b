package deploy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// Guards against entries that restart and then use the spare retries that they have used before,
// so that an upstream's service receives more than the platform allows.
func TestRestartRenewsNoSpareRetries(t *testing.T) {
	f := newFleet(t)
	upstreams := []*stand.Worker{f.addUpstream(t, 1, stand.Held{Name: "m-1"}), f.addUpstream(t, 2, stand.Held{Name: "m-1"})}
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	until(t, "a request is served", func() bool {
		status, _ := sendChat(t, e, "q", "m-1")
		return status == http.StatusOK
	})
	arrived := func() int { return len(upstreams[0].Requests()) + len(upstreams[1].Requests()) }
	before := arrived()
	for _, u := range upstreams {
		u.SetFault(stand.Shed)
	}
	const requests = 3 // too few for a retry by the ratio
	for i := range requests {
		status, _ := sendChat(t, e, fmt.Sprint("q-", i), "m-1")
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, arrived()-before, requests)
	_, text := get(t, e.operators, "/metrics")
	assert.Assert(t, strings.Contains(text, fmt.Sprintf("radishwell_upstream_sends_total{kind=\"first\"} %d\n", arrived())), text)
}

// Guards against entries whose parts of the spare retries are together more than the platform allows,
// and against entries that have none though all others respond.
func TestEntriesShareSpareRetries(t *testing.T) {
	f := newFleet(t)
	f.retrySpan, f.retrySpare = time.Second, 30
	f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	var entries []running
	for n, want := range []string{"30", "15", "10"} {
		entries = append(entries, f.addEntry(t, fmt.Sprint("edge-", n)))
		until(t, want+" spare retries for each entry", func() bool {
			for _, e := range entries {
				if _, text := get(t, e.operators, "/metrics"); !strings.Contains(text, "radishwell_spare_retries "+want+"\n") {
					return false
				}
			}
			return true
		})
	}
}

// Guards against failures at one entry that use its own part of the retry budget only, while the parts
// of the others are not used.
func TestEntryBorrowsRetries(t *testing.T) {
	f := newFleet(t)
	f.retrySpan, f.retrySpare = time.Second, 30
	for n := range 2 {
		f.addUpstream(t, n+1, stand.Held{Name: "m-1"}).SetFault(stand.Shed)
	}
	failing, idle := f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")
	failing.waitReady(t)
	until(t, "the idle entry has a part of the spare retries", func() bool {
		_, text := get(t, idle.operators, "/metrics")
		return strings.Contains(text, "radishwell_spare_retries 15\n")
	})
	n := 0
	until(t, "the failing entry has borrowed", func() bool {
		n++
		status, _ := sendChat(t, failing, fmt.Sprint("q-", n), "m-1")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		_, text := get(t, failing.operators, "/metrics")
		return strings.Contains(text, "radishwell_retries_borrowed_total")
	})
}

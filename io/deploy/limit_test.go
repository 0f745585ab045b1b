package deploy_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// sendLoad sends requests for a model to the entries in turn, one per pace, until a time, and
// returns how many were served.
func sendLoad(t *testing.T, entries []running, model string, pace time.Duration, until time.Time) (served int) {
	t.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-ticker.C
		all.Go(func() {
			status, body := sendChat(t, entries[n%len(entries)], fmt.Sprint("load-", n), model)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
				return
			}
			assert.Check(t, status == http.StatusServiceUnavailable, "status %d: %s", status, body)
		})
	}
	all.Wait()
	return served
}

// mostWithin returns the maximum number of the times, which are in order, within any span.
func mostWithin(times []time.Time, span time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against entries that together exceed an upstream's rate limit.
func TestLimitHoldsOverEntries(t *testing.T) {
	const (
		rate = 1.0
		span = 4 * time.Second
		most = 1.5*rate*4 + 5
	)
	f := newFleet(t)
	w := f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	var entries []running
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		e := f.addEntry(t, name)
		e.waitReady(t)
		entries = append(entries, e)
	}
	limit := rate
	w.SetRateLimit(&limit)
	for i, e := range entries {
		until(t, "the entry has learned the limit", func() bool {
			status, _ := sendChat(t, e, fmt.Sprint("learn-", i), "m-1")
			return status == http.StatusOK
		})
	}
	before := len(w.Arrivals())
	served := sendLoad(t, entries, "m-1", 80*time.Millisecond, time.Now().Add(span+time.Second))
	got := mostWithin(w.Arrivals()[before:], span)
	assert.Assert(t, got <= most, "%d requests in %v", got, span)
	assert.Assert(t, served >= 2, "%d were served", served)
	t.Run("the limit is removed", func(t *testing.T) {
		w.SetRateLimit(nil)
		for i, e := range entries {
			until(t, "the entry has learned that there is no limit", func() bool {
				for n := range 5 {
					if status, _ := sendChat(t, e, fmt.Sprint("free-", i, "-", n), "m-1"); status != http.StatusOK {
						return false
					}
				}
				return true
			})
		}
	})
}

// Guards against entries that do not notify each other of upstreams' rate limits.
func TestOthersHearOfLimit(t *testing.T) {
	f := newFleet(t)
	w := f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	first, second := f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")
	first.waitReady(t)
	second.waitReady(t)
	knows := func(e running, n int) {
		until(t, fmt.Sprint("the entry knows of limited upstreams: ", n), func() bool {
			_, text := get(t, e.operators, "/metrics")
			return strings.Contains(text, fmt.Sprint("radishwell_limited_upstreams ", n))
		})
	}
	limit := 100.0
	w.SetRateLimit(&limit)
	wantChat(t, first, "q-1", "m-1")
	knows(second, 1)
	wantChat(t, second, "q-signal", "m-1")
	_, text := get(t, second.operators, "/metrics")
	assert.Assert(t, strings.Contains(text, `radishwell_upstream_signal_sends_total{signal="limited"} 1`), text)
	w.SetRateLimit(nil)
	wantChat(t, first, "q-2", "m-1")
	knows(second, 0)
}

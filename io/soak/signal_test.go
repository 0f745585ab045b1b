package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// scenario is a run in which requests were sent to one upstream.
type scenario struct {
	signalChecker
	seen []stand.ReceivedRequest
}

func newScenario(steps ...Step) *scenario {
	return &scenario{signalChecker: signalChecker{start: time.Unix(1000, 0), results: map[string]*Result{}, steps: steps}}
}

// add adds a request that a caller sent through an entry at a time, and its answer with
// the given signals.
func (h *scenario) add(entry int, at time.Duration, given stand.Signals) {
	id := fmt.Sprint(len(h.seen))
	h.results[id] = &Result{
		ID: id, Entry: entry, Began: at, Ended: at + 10*time.Millisecond, Status: 200, Complete: true, Signer: "signed-by-i-1",
	}
	h.seen = append(h.seen, stand.ReceivedRequest{Header: http.Header{"X-Radishwell-Request-Id": {id}}, At: h.start.Add(at), Signals: given})
}

func (h *scenario) breaches() int { return len(h.check("i-1", h.seen)) }

// TestSignals checks that each promise is violated by requests that break it and by no
// others.
func TestSignals(t *testing.T) {
	leaves := stand.Signals{Leaving: true}
	one := 1.0
	limited := stand.Signals{Limit: &one}
	for name, c := range map[string]struct {
		build  func(h *scenario)
		broken int
	}{
		"a new request after the entry knew that the upstream leaves": {func(h *scenario) {
			h.add(0, time.Second, leaves)
			h.add(0, 3500*time.Millisecond, leaves)
		}, 1},
		"a request within the grace period": {func(h *scenario) {
			h.add(0, time.Second, leaves)
			h.add(0, 2500*time.Millisecond, leaves)
		}, 0},
		"a request from an entry that did not receive the signal": {func(h *scenario) {
			h.add(0, time.Second, leaves)
			h.add(1, 3500*time.Millisecond, leaves)
		}, 0},
		"a request from an entry that was restarted": {func(h *scenario) {
			h.steps = []Step{{Kind: KillEntry, Target: 0, Begin: 2 * time.Second, End: 2 * time.Second}}
			h.add(0, time.Second, leaves)
			h.add(0, 3500*time.Millisecond, leaves)
		}, 0},
		"three requests during the backoff": {func(h *scenario) {
			h.add(0, time.Second, stand.Signals{RetryAt: h.start.Add(4 * time.Second)})
			for i := range 3 {
				h.add(0, time.Duration(1600+i)*time.Millisecond, stand.Signals{})
			}
		}, 1},
		"two requests during the backoff, others after it or from another entry": {func(h *scenario) {
			h.add(0, time.Second, stand.Signals{RetryAt: h.start.Add(4 * time.Second)})
			for i := range 2 {
				h.add(0, time.Duration(1600+i)*time.Millisecond, stand.Signals{})
				h.add(0, time.Duration(4100+i)*time.Millisecond, stand.Signals{})
				h.add(1, time.Duration(1600+i)*time.Millisecond, stand.Signals{})
			}
		}, 0},
		"more than the rate over two entries": {func(h *scenario) {
			h.add(0, time.Second, limited)
			h.add(1, time.Second, limited)
			for i := range 12 {
				h.add(i%2, time.Duration(2000+300*i)*time.Millisecond, limited)
			}
		}, 1},
		"as many over a longer time": {func(h *scenario) {
			h.add(0, time.Second, limited)
			h.add(1, time.Second, limited)
			for i := range 12 {
				h.add(i%2, time.Duration(2000+400*i)*time.Millisecond, limited)
			}
		}, 0},
		"as many, of which half came before the limit was signalled again": {func(h *scenario) {
			h.add(0, time.Second, limited)
			for i := range 12 {
				given := limited
				if i == 5 {
					given = stand.Signals{}
				}
				h.add(0, time.Duration(2000+300*i)*time.Millisecond, given)
			}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newScenario()
			c.build(h)
			assert.Equal(t, h.breaches(), c.broken)
		})
	}
}

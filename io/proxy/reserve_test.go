package proxy_test

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/platform/stand"
)

// pacer grants a number of reservations at each upstream. Others are refused, with the
// next reservation after a fixed time.
type pacer struct {
	mu       sync.Mutex
	left     map[core.HostName]int
	next     time.Duration
	released int
	// refused counts the refused reservations.
	refused int
}

func (p *pacer) Reserve(_ context.Context, upstream core.HostName, _ float64, _ time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left[upstream] == 0 {
		p.refused++
		return time.Now().Add(p.next), false
	}
	p.left[upstream]--
	return time.Now(), true
}

func (p *pacer) Release(core.HostName, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released++
}

func (p *pacer) refusals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

func (p *pacer) allow(upstream core.HostName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left[upstream]++
}

// limitedRig returns a rig whose upstream p-1 has named a rate limit.
func limitedRig(t *testing.T, left int) (*rig, *pacer, *stand.Worker) {
	t.Helper()
	r := newRig(t)
	p := &pacer{left: map[core.HostName]int{"p-1": left}, next: time.Hour}
	r.Pacer = p
	w := plain(t, r, "p-1")[0]
	rate := 1.0
	w.SetRateLimit(&rate)
	wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q-limit")), http.StatusOK)
	return r, p, w
}

// Guards against refusing callers, or keeping them waiting, because one of several
// upstreams accepts no more requests for now.
func TestLimitedUpstreamIsLeftForAnother(t *testing.T) {
	r, _, w := limitedRig(t, 0)
	other := plain(t, r, "p-2")[0]
	for i := range 5 {
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q-"+strconv.Itoa(i))), http.StatusOK)
	}
	assert.Equal(t, len(w.Requests()), 1)
	assert.Equal(t, len(other.Requests()), 5)
}

// Guards against callers who wait for a reservation that comes too late for them, and
// against refusing a request that runs later.
func TestLimitedUpstreamWithoutAnother(t *testing.T) {
	t.Run("refuses at once with a time to retry", func(t *testing.T) {
		r, p, w := limitedRig(t, 1)
		p.next = 2 * time.Second
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q-1")), http.StatusOK)
		a := do(t, r.ask(t, http.MethodPost, "/once/x", "q-2"))
		wantStatus(t, a, http.StatusServiceUnavailable)
		back, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, back > 1 && back <= 2, "%v", back)
		assert.Equal(t, w.Ran("q-2"), 0)
	})
	t.Run("waits for a reservation that is near", func(t *testing.T) {
		r, p, w := limitedRig(t, 0)
		p.next = 50 * time.Millisecond
		got := make(chan answer, 1)
		go func() { got <- do(t, r.ask(t, http.MethodPost, "/once/x", "q")) }()
		for p.refusals() == 0 {
			time.Sleep(time.Millisecond)
		}
		p.allow("p-1")
		wantStatus(t, <-got, http.StatusOK)
		assert.Equal(t, w.Ran("q"), 1)
	})
	t.Run("no longer once it names none", func(t *testing.T) {
		r, p, w := limitedRig(t, 1)
		w.SetRateLimit(nil)
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q-1")), http.StatusOK)
		for i := range 5 {
			wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "free-"+strconv.Itoa(i))), http.StatusOK)
		}
		assert.Equal(t, p.refusals(), 0)
	})
}

// Guards against losing reservations whose requests were not sent.
func TestUnsentReservationIsReleased(t *testing.T) {
	r, p, _ := limitedRig(t, 1)
	r.Update(func(v *fleet.View, _ time.Time) { v.Host("p-1").Address = netip.MustParseAddrPort("127.0.0.1:1") })
	wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q")), http.StatusServiceUnavailable)
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, p.released, 1)
}

// Guards against sending a request again to the upstream that has failed it, because
// the other upstream accepts no requests for long.
func TestFailureIsNotHeldForLimitedUpstream(t *testing.T) {
	r, p, _ := limitedRig(t, 0)
	w := plain(t, r, "p-2")[0]
	w.SetFault(stand.ServerError)
	wantStatus(t, do(t, r.ask(t, http.MethodGet, "/again/x", "q", "X-Radishwell-Deadline-Ms", "3000")), http.StatusInternalServerError)
	assert.Equal(t, p.refusals(), 1)
	assert.Equal(t, len(w.Requests()), 1)
}

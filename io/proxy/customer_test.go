package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/rtable"
	"radishwell/platform/stand"
)

// fakeQuotas holds a few units for all customers.
type fakeQuotas struct {
	mu   sync.Mutex
	left float64
}

func (c *fakeQuotas) Take(_ context.Context, _ core.OwnerName, units float64) *core.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left < units {
		return core.RefuseUntil(core.CodeRateLimit, "used up", time.Now().Add(time.Second))
	}
	c.left -= units
	return nil
}

func (c *fakeQuotas) Refund(_ core.OwnerName, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left += units
}

func (c *fakeQuotas) remaining() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.left
}

// keyedTable returns a table with customers and a route that is open to all.
func keyedTable(t *testing.T, version int64, customers ...*rtable.Customer) *rtable.Table {
	t.Helper()
	route := func(path string, open bool) *rtable.Route {
		return &rtable.Route{
			Name: path, Host: "a.example", Prefix: path, Kind: rtable.Once, MaxHosts: 1, Timeout: longTimeout, Target: time.Second,
			Shares: []rtable.Share{{Service: "plain", Weight: 1}}, Rank: 2, Open: open,
		}
	}
	table, err := rtable.Build(version, rtable.Limits{}, []*rtable.Service{{Name: "plain"}},
		[]*rtable.Route{route("/once/", false), route("/open/", true)}, customers)
	assert.NilError(t, err)
	return table
}

func customer(name core.OwnerName, rank int, keys ...string) *rtable.Customer {
	c := &rtable.Customer{Name: name, Rank: &rank, Allowance: admit.Allowance{Rate: 100, Unit: admit.Tokens, DefaultUnits: 10}}
	for _, k := range keys {
		c.Keys = append(c.Keys, core.DigestOf(k))
	}
	return c
}

const (
	keyField      = "Authorization"
	customerField = "X-Radishwell-Tenant"
)

// keyedRig returns a rig with two customers and one upstream.
func keyedRig(t *testing.T) (*rig, *stand.Worker, *fakeQuotas) {
	t.Helper()
	r := newRig(t)
	quota := &fakeQuotas{left: 1000}
	r.Quotas = quota
	r.Offer(keyedTable(t, 2, customer("c-1", 0, "k-1", "k-2"), customer("c-2", 3, "k-3")))
	return r, plain(t, r, "p-1")[0], quota
}

func last(t *testing.T, w *stand.Worker) stand.ReceivedRequest {
	t.Helper()
	seen := w.Requests()
	assert.Assert(t, len(seen) > 0)
	return seen[len(seen)-1]
}

// Guards against requests that run for another customer than that of their key, and
// against keys that reach an upstream.
func TestUpstreamLearnsTheCustomerAndNoKey(t *testing.T) {
	r, w, _ := keyedRig(t)
	for _, c := range []struct{ path, key, want, rank string }{
		{"/once/x", "Bearer k-1", "c-1", "0"},
		{"/once/x", "bearer  k-2 ", "c-1", "0"},
		{"/once/x", "Bearer k-3", "c-2", "2"},
		{"/open/x", "Bearer k-3", "c-2", "2"},
		{"/open/x", "Bearer nobody's", "", "1"},
	} {
		t.Run(c.path+" "+c.key, func(t *testing.T) {
			a := do(t, r.ask(t, http.MethodGet, c.path, "q-"+c.key, keyField, c.key, customerField, "forged"))
			wantStatus(t, a, http.StatusOK)
			seen := last(t, w)
			assert.Equal(t, seen.Header.Get(customerField), c.want)
			assert.Equal(t, len(seen.Header.Values(keyField)), 0)
			assert.Equal(t, seen.Header.Get("Priority"), c.rank)
		})
	}
}

// Guards against requests that run without a valid key.
func TestKeysThatAreRefused(t *testing.T) {
	r, w, _ := keyedRig(t)
	r.Offer(keyedTable(t, 3, customer("c-1", 0, "k-1"), customer("c-2", 3, "k-3")))
	r.Offer(keyedTable(t, 2, customer("c-1", 0, "k-1", "k-2")))
	refused := func(t *testing.T, status int, values ...string) answer {
		t.Helper()
		req := r.ask(t, http.MethodGet, "/once/x", "q")
		for _, v := range values {
			req.Header.Add(keyField, v)
		}
		a := do(t, req)
		wantStatus(t, a, status)
		assert.Equal(t, len(w.Requests()), 0)
		for _, v := range values {
			assert.Assert(t, v == "" || !strings.Contains(a.body, strings.TrimPrefix(v, "Bearer ")), a.body)
		}
		return a
	}
	for name, values := range map[string][]string{
		"none": nil, "empty": {""}, "unknown": {"Bearer k-9"}, "taken away": {"Bearer k-2"}, "no scheme": {"k-1"},
		"another scheme": {"Basic k-1"}, "twice": {"Bearer k-1", "Bearer k-1"}, "very long": {"Bearer " + strings.Repeat("k", 5000)},
	} {
		t.Run(name, func(t *testing.T) { refused(t, http.StatusUnauthorized, values...) })
	}
	t.Run("an entry that may be behind says when to retry", func(t *testing.T) {
		r.Behind = func() bool { return true }
		defer func() { r.Behind = nil }()
		a := refused(t, http.StatusServiceUnavailable, "Bearer k-9")
		assert.Assert(t, a.header.Get("Retry-After") != "")
		refused(t, http.StatusUnauthorized, "Bearer k-2") // was removed for all entries
	})
}

// Guards against use that is not counted, and against requests that wait or run
// although the allowance is used up.
func TestAllowanceIsCounted(t *testing.T) {
	send := func(t *testing.T, r *rig, id, tokens string) answer {
		t.Helper()
		return do(t, r.ask(t, http.MethodPost, "/once/x", id, keyField, "Bearer k-1", "X-Radishwell-Token-Usage", tokens))
	}
	t.Run("by its tokens, and as a plain request where it names none", func(t *testing.T) {
		r, _, quota := keyedRig(t)
		wantStatus(t, send(t, r, "q-1", "300,50"), http.StatusOK)
		assert.Equal(t, quota.remaining(), 650.0)
		wantStatus(t, do(t, r.ask(t, http.MethodGet, "/once/x", "q-2", keyField, "Bearer k-1")), http.StatusOK)
		assert.Equal(t, quota.remaining(), 640.0)
	})
	t.Run("a request over it is refused with a time to retry and does not run", func(t *testing.T) {
		r, w, quota := keyedRig(t)
		a := send(t, r, "q", "999,2")
		wantStatus(t, a, http.StatusTooManyRequests)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Equal(t, len(w.Requests()), 0)
		assert.Equal(t, quota.remaining(), 1000.0)
	})
	t.Run("but not if the upstream states that it did not run", func(t *testing.T) {
		r, w, quota := keyedRig(t)
		w.SetFault(stand.Shed)
		wantStatus(t, send(t, r, "q", "300,50"), http.StatusServiceUnavailable)
		assert.Equal(t, quota.remaining(), 1000.0)
	})
	t.Run("also if it may have run", func(t *testing.T) {
		r, w, quota := keyedRig(t)
		w.SetFault(stand.NoResponse)
		wantStatus(t, send(t, r, "q", "300,50"), http.StatusBadGateway)
		assert.Equal(t, quota.remaining(), 650.0)
	})
}

package engine_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/engine"
)

func address(t *testing.T, a net.Addr) netip.AddrPort {
	t.Helper()
	to, err := netip.ParseAddrPort(a.String())
	assert.NilError(t, err)
	return to
}

func assertFault(t *testing.T, err error, want core.EngineFault) {
	t.Helper()
	var fault *core.EngineError
	assert.Assert(t, errors.As(err, &fault), "got %v", err)
	assert.Equal(t, fault.Fault, want)
}

// TestNeverRepeats guards against requests that run twice. If the server closes
// a reused connection just as a request is written to it, net/http gets no
// response and, because of the Idempotency-Key, sends the request again on a
// new connection, although the first one may have run.
func TestNeverRepeats(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if calls.Add(1) == 1 {
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					conn.Close()
				}
			}))
			defer srv.Close()
			c := engine.New(address(t, srv.Listener.Addr()), nil)
			defer c.Close()
			w := core.EngineWork{ID: "r1", Method: method, Path: "/", Header: map[string][]string{"Idempotency-Key": {"k"}}}
			first, err := c.Run(t.Context(), w)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, first.Body)
			first.Body.Close()
			_, err = c.Run(t.Context(), w)
			assertFault(t, err, core.EngineLost)
			assert.Equal(t, calls.Load(), int64(2))
		})
	}
}

func TestUnreached(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	at := address(t, lis.Addr())
	lis.Close()
	_, err = engine.New(at, nil).Run(t.Context(), core.EngineWork{Method: http.MethodPost, Path: "/"})
	assertFault(t, err, core.EngineUnreached)
}

func TestOrderFaults(t *testing.T) {
	faults := []struct {
		status int
		want   core.EngineFault
	}{
		{http.StatusPreconditionFailed, core.EngineStale},
		{http.StatusInsufficientStorage, core.EngineNoMemory},
		{http.StatusConflict, core.EngineRejected},
		{http.StatusInternalServerError, core.EngineRejected},
	}
	for _, f := range faults {
		t.Run(f.want.String(), func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(f.status) }))
			defer srv.Close()
			c := engine.New(address(t, srv.Listener.Addr()), nil)
			defer c.Close()
			assertFault(t, c.Load(t.Context(), core.LoadOrder{Name: "m"}), f.want)
			assertFault(t, c.Unload(t.Context(), core.UnloadOrder{Name: "m"}), f.want)
		})
	}
}

// TestPlainIsOnlyDialled: a plain service must not be sent a request for a
// state report: it would carry out any request as a call.
func TestPlainIsOnlyDialled(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	c := engine.New(address(t, srv.Listener.Addr()), nil)
	c.Plain = true
	_, err := c.State(t.Context())
	assert.NilError(t, err)
	srv.Close()
	_, err = c.State(t.Context())
	assertFault(t, err, core.EngineUnreached)
	assert.Equal(t, calls.Load(), int64(0))
}

package engine_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/engine"
)

// Guards against an engine that sends bytes without end where a report or the response to an order is
// due, which took the agent's memory and time.
func TestEndlessResponseIsBounded(t *testing.T) {
	var written atomic.Int64
	piece := []byte(strings.Repeat("z", 4096))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := []byte(`{"models":["`)
		for {
			n, err := w.Write(text)
			written.Add(int64(n))
			if err != nil {
				return
			}
			text = piece
		}
	}))
	defer srv.Close()
	c := engine.New(netip.MustParseAddrPort(srv.Listener.Addr().String()), nil)
	defer c.Close()
	began := time.Now()
	_, err := c.State(t.Context())
	assert.Assert(t, err != nil)
	assert.NilError(t, c.Load(t.Context(), core.LoadOrder{}))
	assert.Assert(t, time.Since(began) < 10*time.Second)
	assert.Assert(t, written.Load() < 64<<20, "%d bytes were taken", written.Load())
}

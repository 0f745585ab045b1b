package proxy_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/proxy"
	plat "radishwell/platform"
)

// newBufferRig returns a proxy that holds at most bound bytes, before a plain service with the
// given handler.
func newBufferRig(t *testing.T, bound core.Bytes, serve http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{adapters: &adapterLoader{}}
	r.Proxy = &proxy.Proxy{
		Self: "edge-1", DataCentre: "dc-1", Clock: realClock{}, Protocol: plat.Headers{}, Adapters: r.adapters, MaxHeld: bound,
		RetryRatio: 0.2, RetrySpare: 10, RetrySpan: 10 * time.Second,
	}
	r.Start()
	runProxy(t, r.Proxy)
	front := httptest.NewServer(r.Proxy)
	t.Cleanup(front.Close)
	r.url = front.URL
	r.Offer(routes(2 * longTimeout))
	upstream := httptest.NewServer(serve)
	t.Cleanup(upstream.Close)
	at := netip.MustParseAddrPort(upstream.Listener.Addr().String())
	r.Update(func(v *fleet.View, _ time.Time) {
		v.Apply(fleet.Entry{ID: "p-1", Service: "plain", Address: at, Usable: true, DataCentre: "dc-1", Slots: 64})
	})
	return r
}

func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Radishwell-Request-Id", r.Header.Get("X-Radishwell-Request-Id"))
	w.Header().Set("X-Radishwell-Server-Signature", "signed")
}

// Guards against bodies that fill the memory while upstreams are slow: further requests are refused
// as not run, and have not run.
func TestFullEntryRefuses(t *testing.T) {
	release := make(chan struct{})
	var ran [8]int
	r := newBufferRig(t, 4<<20, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
		var n int
		_, err = fmt.Sscanf(r.Header.Get("X-Radishwell-Request-Id"), "q-%d", &n)
		assert.NilError(t, err)
		ran[n]++
		<-release
		sign(w, r)
	})
	body := strings.Repeat("x", 1<<20)
	ask := func(i int) *http.Request {
		req := r.ask(t, http.MethodPost, "/once/x", fmt.Sprint("q-", i))
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		return req
	}
	var held []chan answer
	for i := range 3 {
		out := make(chan answer, 1)
		go func() { out <- do(t, ask(i)) }()
		held = append(held, out)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.HeldBytes() >= 3<<20 {
			return poll.Success()
		}
		return poll.Continue("%d bytes held", r.HeldBytes())
	}, poll.WithTimeout(longTimeout), poll.WithDelay(5*time.Millisecond))
	a := do(t, ask(7))
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	close(release)
	for _, out := range held {
		wantStatus(t, <-out, http.StatusOK)
	}
	assert.Equal(t, ran[7], 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.HeldBytes() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d bytes held", r.HeldBytes())
	}, poll.WithTimeout(longTimeout))
}

// Guards against callers that read nothing and whose answers fill the memory: the one that holds
// most is ended, visibly incomplete, and the others go on.
func TestSlowReaderIsEnded(t *testing.T) {
	large := bytes.Repeat([]byte("y"), 1<<20)
	r := newBufferRig(t, 3<<20, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		if strings.HasSuffix(r.URL.Path, "small") {
			_, _ = w.Write([]byte("small"))
			return
		}
		for range 64 {
			if _, err := w.Write(large); err != nil {
				return
			}
		}
	})
	for i := range 4 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET /again/large HTTP/1.1\r\nHost: a.example\r\nX-Radishwell-Request-Id: q-%d\r\n\r\n", i)
		assert.NilError(t, err)
	}
	// Each holds an answer of which its caller takes nothing; together they leave too little for
	// this request until one of them has ended.
	body := strings.Repeat("x", 2<<20)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		req := r.ask(t, http.MethodPost, "/again/small", "q-9")
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		if a := do(t, req); a.status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("the entry is full, %d bytes held", r.HeldBytes())
	}, poll.WithTimeout(longTimeout))
	assert.Assert(t, r.HeldBytes() <= 3<<20, "%d", r.HeldBytes())
}

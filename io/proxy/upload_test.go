package proxy_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/platform/stand"
)

// resetUpload answers a request at once, without a length and with two events, and resets the
// connection while its body is written.
func resetUpload(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+signedFields+"\r\n", "{id}", r.Header.Get("X-Radishwell-Request-Id"))
	_, _ = io.WriteString(conn, head+eventsOf(2))
	time.Sleep(time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// Guards against a part of an answer that is passed on as whole: its upstream answered a long upload
// at once, without a length, and reset the connection, which showed itself to the writing side alone.
func TestAnswerOfResetUploadIsCut(t *testing.T) {
	const rounds, callers = 20, 16
	upload := bytes.Repeat([]byte("x"), 3<<20)
	r := newRigWith(t, 1e6)
	for i, service := range []core.ServiceName{"plain", "plain", "llm", "llm"} {
		w := &stand.Worker{ID: fmt.Sprint(service, i)}
		r.addServed(t, service, w, http.HandlerFunc(resetUpload))
	}
	var passed sync.Map
	for n := range rounds {
		var all sync.WaitGroup
		for m := range callers {
			all.Go(func() {
				path := cutRoutes[(n+m)%len(cutRoutes)]
				req, err := http.NewRequest(http.MethodPost, r.url+path, io.MultiReader(strings.NewReader(fmt.Sprint(n, m)), bytes.NewReader(upload)))
				assert.Check(t, err == nil)
				req.Host = "a.example"
				req.Header.Set("X-Radishwell-Request-Id", fmt.Sprint("q-", n, "-", m))
				req.Header.Set("X-Radishwell-Model", "m")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if _, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
					passed.Store(fmt.Sprint(path, n, m), true)
				}
			})
		}
		all.Wait()
	}
	passed.Range(func(key, _ any) bool {
		t.Errorf("a part of an answer was passed on as whole: %v", key)
		return true
	})
}

// Guards against an answer without a length that is taken for cut, since it came before the writing
// side said that all was written.
func TestAnswerWithoutLengthAfterUpload(t *testing.T) {
	r := newRig(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Set("X-Radishwell-Request-Id", req.Header.Get("X-Radishwell-Request-Id"))
		w.Header().Set("X-Radishwell-Server-Signature", "s")
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { _ = srv.Serve(lis) }() // it ends with Close
	t.Cleanup(func() { _ = srv.Close() })
	e := fleet.Entry{ID: "p-1", Service: "plain", Address: netip.MustParseAddrPort(lis.Addr().String()), Usable: true, DataCentre: "dc-1", Slots: 6}
	r.Update(func(v *fleet.View, _ time.Time) { v.Apply(e) })
	var all sync.WaitGroup
	for m := range 8 {
		all.Go(func() {
			for n := range 50 {
				a := do(t, r.post(t, "/once/x", fmt.Sprint("q-", m, "-", n), strings.Repeat("x", 1+n*1000)+fmt.Sprint(m)))
				assert.Check(t, a.status == http.StatusOK && a.body == "whole" && !a.cut, "%d %q cut %t", a.status, a.body, a.cut)
			}
		})
	}
	all.Wait()
}

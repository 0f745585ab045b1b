package proxy_test

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// endless is an upstream that answers each request with a beginning, in which ID stands for that of
// the request, and then with a piece again and again until the connection is closed.
type endless struct {
	beginning, piece string
	// pause is the pause after each piece.
	pause time.Duration
	// written counts the bytes that were written.
	written atomic.Int64
}

// addEndless registers an endless upstream.
func (r *rig) addEndless(t *testing.T, service core.ServiceName, id string, e *endless) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			e.serve(conn)
		}
	}()
	t.Cleanup(func() {
		lis.Close()
		<-ended
	})
	at := netip.MustParseAddrPort(lis.Addr().String())
	entry := fleet.Entry{ID: core.HostName(id), Service: service, Address: at, Usable: true, DataCentre: "dc-1", Slots: 6}
	if service == "llm" {
		entry.Models = []core.HeldModel{{Model: "m"}}
	}
	r.Update(func(v *fleet.View, _ time.Time) { v.Apply(entry) })
}

func (e *endless) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	text := strings.ReplaceAll(e.beginning, "ID", req.Header.Get("X-Radishwell-Request-Id"))
	for {
		n, err := conn.Write([]byte(text))
		e.written.Add(int64(n))
		if err != nil {
			return
		}
		text = e.piece
		time.Sleep(e.pause)
	}
}

const (
	signedHead  = "HTTP/1.1 200 OK\r\nX-Radishwell-Request-Id: ID\r\nX-Radishwell-Server-Signature: s\r\n"
	chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	// maxRead bounds what an entry may take from an upstream that sends no answer, in bytes: what it
	// buffers, and what sockets do.
	maxRead = 16 << 20
)

// chunk returns a piece as one chunk.
func chunk(piece string) string { return "400\r\n" + strings.Repeat(piece, 1024/len(piece)) + "\r\n" }

var endlessHeads = map[string]*endless{
	"no HTTP":       {piece: strings.Repeat("z", 1024)},
	"one header":    {beginning: "HTTP/1.1 200 OK\r\nX-A: ", piece: strings.Repeat("z", 1024)},
	"many headers":  {beginning: "HTTP/1.1 200 OK\r\n", piece: strings.Repeat("X-A: b\r\n", 128)},
	"informational": {piece: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
}

var endlessStreams = map[string]*endless{
	"one line":    {beginning: chunkedHead, piece: chunk("zzzz")},
	"short lines": {beginning: chunkedHead, piece: chunk("zzz\n")},
	"data lines":  {beginning: chunkedHead, piece: chunk("data: b\n")},
	"blank lines": {beginning: chunkedHead, piece: chunk("\n")},
	"no fields":   {beginning: chunkedHead, piece: chunk("zz\n\n")},
	"no framing":  {beginning: signedHead + "\r\n", piece: strings.Repeat("zz\n\n", 256)},
}

func eachEndless(t *testing.T, of map[string]*endless, check func(t *testing.T, e *endless)) {
	for name, like := range of {
		t.Run(name, func(t *testing.T) {
			e := &endless{beginning: like.beginning, piece: like.piece}
			check(t, e)
			assert.Assert(t, e.written.Load() < maxRead, "%d bytes were taken", e.written.Load())
		})
	}
}

// wantSoon checks that a request ends long before its route's timeout.
func wantSoon(t *testing.T, began time.Time) {
	t.Helper()
	assert.Assert(t, time.Since(began) < longTimeout/2, "it took %v", time.Since(began))
}

// Guards against an upstream that sends a head without end and takes its entry's memory or its
// callers' time.
func TestEndlessHeadIsNoAnswer(t *testing.T) {
	eachEndless(t, endlessHeads, func(t *testing.T, e *endless) {
		r := newRig(t)
		r.addEndless(t, "plain", "p-1", e)
		began := time.Now()
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q-1")), http.StatusBadGateway)
		plain(t, r, "p-2")
		wantStatus(t, do(t, r.ask(t, http.MethodGet, "/again/x", "q-2")), http.StatusOK)
		wantSoon(t, began)
	})
}

// Guards against an upstream that sends bytes without end where events are due, which were kept as one
// event or passed on as empty ones.
func TestEndlessStreamIsNoAnswer(t *testing.T) {
	eachEndless(t, endlessStreams, func(t *testing.T, e *endless) {
		r := newRig(t)
		r.addEndless(t, "llm", "e-1", e)
		began := time.Now()
		wantStatus(t, do(t, r.askStream(t, "/stream/x", "q-1")), http.StatusBadGateway)
		r.addStream(t, "e-2", false, 0)
		a := do(t, r.askStream(t, "/resumed/x", "q-2"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(8))
		wantSoon(t, began)
	})
}

// Guards against a body without end that takes its entry's memory, or ends as if it were whole.
func TestEndlessBodyIsCutOff(t *testing.T) {
	for name, like := range map[string]*endless{
		"chunks":     {beginning: chunkedHead, piece: chunk("z")},
		"no framing": {beginning: signedHead + "\r\n", piece: strings.Repeat("z", 1024)},
		"slow":       {beginning: signedHead + "\r\n", piece: "z", pause: 10 * time.Millisecond},
		"failure":    {beginning: strings.Replace(chunkedHead, "200 OK", "500 Failed", 1), piece: chunk("z")},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			short := routes(time.Second)
			short.Version = 2
			r.Offer(short)
			e := &endless{beginning: like.beginning, piece: like.piece, pause: like.pause}
			r.addEndless(t, "plain", "p-1", e)
			began := time.Now()
			a := do(t, r.ask(t, http.MethodPost, "/once/x", "q-1"))
			assert.Assert(t, a.cut || a.status == http.StatusGatewayTimeout || a.status == http.StatusBadGateway, "status %d, %d bytes", a.status, len(a.body))
			wantSoon(t, began)
			assert.Assert(t, r.HeldBytes() < maxRead)
		})
	}
}

// Guards against a rejection whose body has no end, which must not delay the next attempt.
func TestEndlessRejectionIsARejection(t *testing.T) {
	r := newRig(t)
	head := "HTTP/1.1 503 Busy\r\nX-Radishwell-Request-Id: ID\r\nX-Radishwell-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	e := &endless{beginning: head, piece: chunk("z")}
	r.addEndless(t, "plain", "p-1", e)
	began := time.Now()
	wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q-1")), http.StatusServiceUnavailable)
	wantSoon(t, began)
	assert.Assert(t, e.written.Load() < maxRead)
}

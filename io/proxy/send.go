package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/io/objapi"
	"radishwell/io/reply"
)

const (
	// dialTimeout bounds connecting to a host. Hosts are a few milliseconds away; if
	// one drops the first packet, another host is faster than TCP's retransmission
	// after a second.
	dialTimeout = 500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a host that falls
	// silent in the middle of an answer within three seconds. The kernel counts in
	// whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxHeader bounds the header of an upstream's answer, in bytes.
	maxHeader = 64 << 10
	// maxBufferedAnswer is the size up to which an answer is read to its end before it
	// is forwarded, in bytes. A buffered answer can still be replaced by another host's
	// if it breaks off.
	maxBufferedAnswer = 1 << 20
)

// upstreams connects to upstream hosts, with one connection for each request. A reused
// connection could carry a late second answer to the previous request, or be silent or
// closed already, and a request sent on it may have run. A fresh connection costs a
// millisecond and avoids both.
type upstreams struct {
	dialer    *net.Dialer
	transport *reply.Transport
}

func (u *upstreams) start() {
	u.dialer = &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: objapi.LimitUnacked,
	}
	u.transport = &reply.Transport{Base: &http.Transport{
		DialContext: u.dial, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeader,
	}}
}

func (u *upstreams) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := u.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &timedConn{Conn: conn}, nil
}

// LateError reports a retry that was not sent, since this process stood still after it was taken from the
// retry budget: the upstream would receive it in a window in which it does not count.
type LateError struct{}

// Error implements error.
func (*LateError) Error() string { return "the retry was not sent in time" }

// timedConn is a connection on which nothing is sent unless it begins in time.
type timedConn struct {
	net.Conn
	clock core.Clock
	// by is the time by which the first bytes are sent, zero if there is none.
	by    time.Time
	begun bool
}

// Write implements net.Conn.
func (c *timedConn) Write(b []byte) (int, error) {
	if !c.begun && !c.by.IsZero() && c.clock.Now().After(c.by) {
		return 0, &LateError{}
	}
	c.begun = true
	return c.Conn.Write(b)
}

// sendState is what a host may have received of a request, and whether it has sent anything back.
type sendState struct{ sent, heard bool }

// send sends the request to a host and returns the header of its answer. It changes nothing of the call.
func (u *upstreams) send(ctx context.Context, c *call, x *exchange) (resp *http.Response, state sendState, err error) {
	var heard atomic.Bool
	t := x.target
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			state.sent = true
			if conn, ok := info.Conn.(*timedConn); ok && x.retry != noRetry {
				conn.clock, conn.by = c.proxy.Clock, x.retryBy
			}
		},
		GotFirstResponseByte: func() { heard.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	hop := core.Hop{Incarnation: t.id, Remaining: c.deadline.Sub(c.proxy.Clock.Now()), Priority: c.rank, LastEventID: x.lastEventID}
	if c.customer != nil {
		hop.Customer = c.customer.Name
	}
	req := (&http.Request{
		Method: c.request.Method, Host: c.request.Host, URL: c.target.URL("http", t.address.String()),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.proxy.Protocol.ForwardHeader(c.request.Header, hop),
	}).WithContext(ctx)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // keeps net/http from adding its own User-Agent
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	}
	resp, err = u.transport.RoundTrip(req)
	state.sent, state.heard = state.sent && !isLate(err), heard.Load()
	return resp, state, err
}

func isLate(err error) bool {
	var late *LateError
	return errors.As(err, &late)
}

package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"radishwell/core"
	"radishwell/io/objapi"
)

const (
	// dialTime is how long a host may take to accept a connection. Hosts are a few
	// milliseconds away; one that drops the first packet is better left for
	// another than waited for until it is sent again, a second later.
	dialTime = 500 * time.Millisecond
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a host that went
	// silent in the middle of an answer within three seconds. The kernel counts
	// in whole seconds.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// mostHeader bounds the head of an upstream's answer, in bytes.
	mostHeader = 64 << 10
	// mostWhole is the largest answer that is read whole before it is passed on,
	// in bytes. An answer read whole can still be replaced when it breaks off.
	mostWhole = 1 << 20
)

// upstreams makes the connections to upstream hosts: one for each request. A
// connection used again can bring the late second answer to the request before,
// or be silent or closed by then, and what was sent on it may have run; a fresh
// one costs a millisecond and makes neither possible.
type upstreams struct {
	transport *http.Transport
}

func (u *upstreams) start() {
	dialer := &net.Dialer{
		Timeout: dialTime,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
		},
		Control: objapi.LimitUnacked,
	}
	u.transport = &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: mostHeader,
	}
}

// send hands the request to a host and returns the head of its answer. Sent
// tells whether the host may have got any of it.
func (u *upstreams) send(ctx context.Context, c *call, t *target, after string) (resp *http.Response, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	hop := core.Hop{Instance: t.id, Remaining: c.deadline.Sub(c.proxy.Clock.Now()), Priority: c.rank, LastEventID: after}
	if c.customer != nil {
		hop.Customer = c.customer.Name
	}
	req := (&http.Request{
		Method: c.request.Method, Host: c.request.Host,
		// Opaque keeps the path and query as the caller wrote them.
		URL:   &url.URL{Scheme: "http", Host: t.address.String(), Opaque: c.request.RequestURI},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.proxy.Protocol.ForwardHeader(c.request.Header, hop),
	}).WithContext(ctx)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	}
	resp, err = u.transport.RoundTrip(req)
	return resp, sent, err
}

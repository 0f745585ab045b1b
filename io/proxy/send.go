package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"radishwell/core"
	"radishwell/io/objapi"
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
	transport *http.Transport
}

func (u *upstreams) start() {
	u.dialer = &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: objapi.LimitUnacked,
	}
	u.transport = &http.Transport{
		DialContext: u.dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// send sends the request to a host and returns the header of its answer. sent reports
// whether the host may have received any of the request.
func (u *upstreams) send(ctx context.Context, c *call, t *target, lastEventID string) (resp *http.Response, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	hop := core.Hop{Incarnation: t.id, Remaining: c.deadline.Sub(c.proxy.Clock.Now()), Priority: c.rank, LastEventID: lastEventID}
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
	return resp, sent, err
}

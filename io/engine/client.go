package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/rawurl"
	"radishwell/io/awake"
	"radishwell/io/reply"
)

const (
	// dialTimeout bounds the set-up of a connection. The hosts are in the same
	// building.
	dialTimeout = time.Second
	// TCP keep-alive probes find a connection that a device between the two ends
	// has dropped: it is closed three seconds after it went silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleTimeout is how long an unused connection is kept. It is shorter than
	// the usual timeout of servers, so that a request is seldom written to a
	// connection that the server is closing.
	idleTimeout  = 10 * time.Second
	maxIdleConns = 256
	// maxHeader, maxState and maxOrderAnswer bound the head of a response, a state report and the
	// response to an order, in bytes.
	maxHeader      = 64 << 10
	maxState       = 4 << 20
	maxOrderAnswer = 64 << 10
)

// Header names of requests to an engine.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerTrace    = "Traceparent"
)

// Client implements core.Engine over HTTP. New makes one; the exported fields are
// not changed after first use. It is safe for concurrent use.
type Client struct {
	// Address is the address that the upstream listens on.
	Address netip.AddrPort
	// TLS is the TLS configuration, nil for plain HTTP.
	TLS *tls.Config
	// Plain is set if the upstream is a plain service. It has no state report, and
	// any request to it is a call that it carries out, so State only dials it.
	Plain bool

	dialer *dialer
	// control carries reports and orders. work carries requests, each on a connection of its own:
	// one that is used again may hold a second answer to the request before.
	control, work *reply.Transport
}

// New returns a client of the upstream at address. It uses TLS if conf is not nil.
func New(address netip.AddrPort, conf *tls.Config) *Client {
	dialer := &dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	control := &http.Transport{
		DialContext:            dialer.dial,
		TLSClientConfig:        conf,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
	work := control.Clone()
	work.DisableKeepAlives = true
	return &Client{Address: address, TLS: conf, dialer: dialer, control: &reply.Transport{Base: control}, work: &reply.Transport{Base: work}}
}

// dialer makes connections, each within dialTimeout.
type dialer net.Dialer

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, stop := awake.WithTimeout(ctx, dialTimeout)
	defer stop()
	conn, err := (*net.Dialer)(d).DialContext(ctx, network, address)
	if err != nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return conn, err
}

// Close closes connections that are not in use.
func (c *Client) Close() { c.control.CloseIdleConnections() }

// State implements core.Engine. For a plain service it returns an empty state and
// only checks that the service accepts connections.
func (c *Client) State(ctx context.Context) (core.EngineState, error) {
	var st core.EngineState
	if c.Plain {
		return st, c.dial(ctx)
	}
	resp, err := c.do(ctx, c.control, http.MethodGet, "/state", nil, nil)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st, &core.EngineError{Fault: core.EngineRejected, Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&st); err != nil {
		return st, &core.EngineError{Fault: core.EngineLost, Cause: err}
	}
	return st, nil
}

// dial checks whether a plain service accepts connections.
func (c *Client) dial(ctx context.Context) error {
	conn, err := c.dialer.dial(ctx, "tcp", c.Address.String())
	if err != nil {
		return &core.EngineError{Fault: core.EngineUnreached, Cause: err}
	}
	return conn.Close()
}

// Load implements core.Engine.
func (c *Client) Load(ctx context.Context, o core.LoadOrder) error {
	return c.order(ctx, "/orders/load", o)
}

// Unload implements core.Engine.
func (c *Client) Unload(ctx context.Context, o core.UnloadOrder) error {
	return c.order(ctx, "/orders/unload", o)
}

// Cancel implements core.Engine.
func (c *Client) Cancel(ctx context.Context, id core.RequestID) error {
	return c.order(ctx, "/orders/cancel", map[string]core.RequestID{"id": id})
}

func (c *Client) order(ctx context.Context, path string, order any) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &core.EngineError{Fault: core.EngineRejected, Cause: err}
	}
	resp, err := c.do(ctx, c.control, http.MethodPost, path, http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxOrderAnswer)
	return orderError(resp.StatusCode)
}

func orderError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusPreconditionFailed:
		return &core.EngineError{Fault: core.EngineStale, Status: status}
	case status == http.StatusInsufficientStorage:
		return &core.EngineError{Fault: core.EngineNoMemory, Status: status}
	default:
		return &core.EngineError{Fault: core.EngineRejected, Status: status}
	}
}

// Run implements core.Engine.
func (c *Client) Run(ctx context.Context, w core.EngineWork) (core.Answer, error) {
	header := http.Header(w.Header).Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerRequest, string(w.ID))
	header.Set(headerPriority, w.Priority.String())
	if w.Trace != "" {
		header.Set(headerTrace, w.Trace)
	}
	return c.answer(c.do(ctx, c.work, w.Method, w.Path, header, w.Body))
}

// Resume implements core.Engine.
func (c *Client) Resume(ctx context.Context, id core.RequestID, offset int64) (core.Answer, error) {
	path := "/streams/" + url.PathEscape(string(id)) + "?offset=" + strconv.FormatInt(offset, 10)
	answer, err := c.answer(c.do(ctx, c.work, http.MethodGet, path, nil, nil))
	if err == nil && answer.Status != http.StatusOK {
		answer.Body.Close()
		return core.Answer{}, &core.EngineError{Fault: core.EngineRejected, Status: answer.Status}
	}
	return answer, err
}

// answer returns the upstream's answer in an HTTP response.
func (c *Client) answer(resp *http.Response, err error) (core.Answer, error) {
	if err != nil {
		return core.Answer{}, err
	}
	return core.Answer{Status: resp.StatusCode, Header: resp.Header, Framing: reply.Framing(resp), Body: resp.Body}, nil
}

// do sends a request once over a transport. Its error is an EngineError. The fault is
// EngineUnreached only if no byte of the request was written, EngineLost if the
// upstream may have received it.
func (c *Client) do(ctx context.Context, over *reply.Transport, method, target string, header http.Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// GotConn runs before any byte of the request is written, so a request
		// that was written is never reported as not sent.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base(), nil)
	if err != nil {
		return nil, &core.EngineError{Fault: core.EngineRejected, Cause: err}
	}
	req.URL = rawurl.Target(target).URL(req.URL.Scheme, req.URL.Host)
	if header != nil {
		req.Header = header
	}
	req.Body = oneShotBody{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	resp, err := over.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if !sent.Load() {
		return nil, &core.EngineError{Fault: core.EngineUnreached, Cause: err}
	}
	return nil, &core.EngineError{Fault: core.EngineLost, Cause: err}
}

func (c *Client) base() string {
	if c.TLS != nil {
		return "https://" + c.Address.String()
	}
	return "http://" + c.Address.String()
}

// oneShotBody is a body that net/http cannot rewind and therefore cannot send
// again. The transport repeats a request after a connection failure only if it
// has no body or the body can be read again.
type oneShotBody struct{ io.Reader }

// Close implements io.Closer.
func (oneShotBody) Close() error { return nil }

package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/io/agent"
	"radishwell/io/relay"
	"radishwell/wire"
)

const (
	dialTimeout = time.Second
	// A connection that has received nothing for pingDelay is pinged, and closed if no
	// reply arrives within pingTimeout. A connection that a device between the two
	// hosts has lost track of is thus found within two seconds, however slowly the
	// model answers on it.
	pingDelay   = time.Second
	pingTimeout = time.Second
	// streamBuffer and connBuffer bound the data buffered for a slow caller, for one
	// answer and for all answers of a connection, in bytes.
	streamBuffer  = 256 << 10
	connBuffer    = 16 << 20
	cancelTimeout = time.Second
)

// Relay sends requests to agents and reads their answers. Set the exported field before
// use; its methods may be called from several goroutines.
type Relay struct {
	// TLS returns the configuration for connections to a host, nil for none. The field
	// itself is nil if no host has one.
	TLS func(core.HostName) *tls.Config

	clients clientSet
}

// handOverError reports a hand-over that did not yield an answer.
type handOverError struct {
	// sent is set if the agent may have received the request.
	sent  bool
	cause error
}

// Error implements error.
func (e *handOverError) Error() string { return "contact with the agent was lost: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *handOverError) Unwrap() error { return e.cause }

// newTransport returns a transport for one host. It uses HTTP/2, with pings on silent
// connections, and TLS if conf is set.
func newTransport(conf *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	var protocols http.Protocols
	protocols.SetHTTP2(conf != nil)
	protocols.SetUnencryptedHTTP2(conf == nil)
	return &http.Transport{
		DialContext: dialer.DialContext, TLSClientConfig: conf, Protocols: &protocols, DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingDelay, PingTimeout: pingTimeout, WriteByteTimeout: pingDelay + pingTimeout,
			MaxReceiveBufferPerStream: streamBuffer, MaxReceiveBufferPerConnection: connBuffer,
		},
	}
}

// open sends a request, or asks for the rest of its answer, and returns the answer's
// frames. Its error is a handOverError.
func (r *Relay) open(ctx context.Context, h Host, head *wire.WorkHead, body []byte) (io.ReadCloser, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	resp, err := r.post(ctx, h, agent.PathWork, head, body)
	if err != nil {
		return nil, &handOverError{sent: sent.Load(), cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &handOverError{sent: true, cause: &StatusError{Status: resp.StatusCode}}
	}
	return resp.Body, nil
}

// StatusError reports an agent that responded with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "the agent answered " + http.StatusText(e.Status) }

func (r *Relay) post(ctx context.Context, h Host, path string, head *wire.WorkHead, body []byte) (*http.Response, error) {
	client := r.clients.get(h, r.TLS)
	var buf bytes.Buffer
	if err := relay.WriteHead(&buf, head); err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, client.base+path, nil)
	if err != nil {
		return nil, err
	}
	// The body cannot be rewound, which keeps the transport from retrying the request
	// itself and so running it twice.
	req.Body = oneShotBody{io.MultiReader(&buf, bytes.NewReader(body))}
	req.ContentLength = int64(buf.Len() + len(body))
	return client.transport.RoundTrip(req)
}

type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

// cancel notifies an agent that a request's caller has left.
func (r *Relay) cancel(h Host, id core.RequestID) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	resp, err := r.post(ctx, h, agent.PathCancel, &wire.WorkHead{RequestId: string(id)}, nil)
	if err == nil {
		resp.Body.Close()
	}
}

// Close closes all connections that are not in use.
func (r *Relay) Close() { r.clients.close() }

// sink receives an answer's header and data on their way to the caller.
type sink interface {
	Head(status int, header http.Header, unframed bool)
	Data(p []byte) error
}

// reading is the progress of reading one answer, over as many connections as it takes.
type reading struct {
	to         sink
	offset     int64
	headerSent bool
	firstByte  time.Time
	clock      core.Clock
	end        *wire.End
}

// callerError reports that the caller's connection has ended.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "the caller went away: " + e.cause.Error() }

// copyFrames copies an answer's frames until its end. Its error is a callerError or a
// relay.FrameError.
func (g *reading) copyFrames(body io.Reader) error {
	in := relay.NewReader(body)
	defer in.Release()
	var f wire.Frame
	for {
		if err := in.Next(&f); err != nil {
			return err
		}
		switch kind := f.Kind.(type) {
		case *wire.Frame_Head:
			g.writeHeader(kind.Head)
		case *wire.Frame_Data:
			if err := g.writeData(kind.Data); err != nil {
				return err
			}
		case *wire.Frame_End:
			g.end = kind.End
			return nil
		}
	}
}

func (g *reading) writeHeader(h *wire.AnswerHead) {
	if g.headerSent {
		return
	}
	g.headerSent = true
	header := http.Header{}
	for _, f := range h.GetHeader() {
		header.Add(f.GetName(), f.GetValue())
	}
	g.to.Head(int(h.GetStatus()), header, h.GetUnframed())
}

func (g *reading) writeData(p []byte) error {
	if g.firstByte.IsZero() {
		g.firstByte = g.clock.Now()
	}
	if err := g.to.Data(p); err != nil {
		return &callerError{cause: err}
	}
	g.offset += int64(len(p))
	return nil
}

// callerGone reports whether an error means that the caller left or the deadline
// passed.
func callerGone(ctx context.Context, err error) bool {
	var gone *callerError
	return ctx.Err() != nil || errors.As(err, &gone)
}

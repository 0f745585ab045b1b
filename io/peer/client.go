package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"radishwell/core"
	"radishwell/wire"
)

const (
	dialTimeout = time.Second
	// pingInterval is how long a call may be outstanding before the client pings over the
	// connection, and silenceTimeout bounds that ping. A silent connection is closed
	// within their sum.
	pingInterval   = time.Second
	silenceTimeout = 1500 * time.Millisecond
	// idleTimeout is how long a connection without calls is kept. Processes exchange with
	// random peers, so most connections are used once; at 1,040 processes, keeping all of
	// them would cost more memory than the handshakes cost time.
	idleTimeout = 10 * time.Second
	// idlePingAfter is the idle time after which a connection is pinged before it is used
	// again, and idlePingTimeout bounds that ping. It costs a round trip of one or two
	// milliseconds if calls are that far apart; pinging all idle connections would cost
	// traffic all the time.
	idlePingAfter   = time.Second
	idlePingTimeout = 500 * time.Millisecond
)

// CallError reports a call that got no response.
type CallError struct {
	Method string
	// Sent is set if the other side may have served the call.
	Sent bool
	// Read is the number of bytes read from the connection during the call, those of
	// other calls included.
	Read  int64
	Cause error
}

// Error implements error.
func (e *CallError) Error() string { return "call " + e.Method + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// SilentError reports a connection that no longer carries data.
type SilentError struct{}

// Error implements error.
func (*SilentError) Error() string { return "the connection has gone silent" }

// Target identifies a process that can be called.
type Target struct {
	Host    core.HostName
	Address netip.AddrPort
}

// Client calls other processes. Its exported fields must be set before first use; its
// methods may be called from several goroutines. The zero value calls without TLS.
type Client struct {
	// TLS returns the configuration for calls to a host, or nil for none. An empty host
	// name stands for any process of this system.
	TLS func(core.HostName) *tls.Config
	// Dial, if set, opens connections instead of TCP.
	Dial func(context.Context, Target) (net.Conn, error)
	// OnSilent, if set, is called for each connection that is closed because it went
	// silent.
	OnSilent func(Target)
	// OnCall, if set, is called after each call with the method's name and whether it
	// succeeded.
	OnCall func(method string, ok bool)

	mu      sync.Mutex
	conns   map[Target]*clientConn
	traffic byteCounts
}

// clientConn is a connection that is open or being dialled. Except for transport, rpc and
// err, which are set before ready is closed, Client.mu guards its fields.
type clientConn struct {
	ready     chan struct{}
	transport *meteredConn
	rpc       *rpc.Client
	err       error
	idleTimer *time.Timer
	// users counts the calls that use the connection or wait for it.
	users int
	// idleSince is when users last became zero.
	idleSince time.Time
	// silentSince is when the first of the calls was sent that timed out with nothing
	// read from the connection since; zero if there is none.
	silentSince time.Time
}

// call makes one call, bounded by the context's deadline. Its error is a CallError, or an
// rpc.ServerError if the other side responded with an error.
func call[A any, P interface {
	*A
	proto.Message
}](ctx context.Context, c *Client, to Target, method string, in proto.Message) (P, error) {
	out, err := callOnce[A, P](ctx, c, to, method, in, c.acquire)
	if c.OnCall != nil {
		c.OnCall(method, err == nil)
	}
	return out, err
}

// callRepeatable makes a call that the other side may serve twice. An idle connection is not
// pinged before, which would delay the call by a round trip or, at a slow process, cost the
// connection; if the connection turns out to be closed, the call is repeated on a new one.
func callRepeatable[A any, P interface {
	*A
	proto.Message
}](ctx context.Context, c *Client, to Target, method string, in proto.Message) (P, error) {
	idle := false
	acquire := func(ctx context.Context, to Target) (conn *clientConn, err error) {
		conn, idle, err = c.getOrDial(ctx, to)
		return conn, err
	}
	out, err := callOnce[A, P](ctx, c, to, method, in, acquire)
	var failed *CallError
	if idle && ctx.Err() == nil && errors.As(err, &failed) {
		out, err = callOnce[A, P](ctx, c, to, method, in, acquire)
	}
	if c.OnCall != nil {
		c.OnCall(method, err == nil)
	}
	return out, err
}

func callOnce[A any, P interface {
	*A
	proto.Message
}](ctx context.Context, c *Client, to Target, method string, in proto.Message, acquire func(context.Context, Target) (*clientConn, error)) (P, error) {
	conn, err := acquire(ctx, to)
	if err != nil {
		return nil, &CallError{Method: method, Cause: err}
	}
	defer c.release(to, conn)
	out := P(new(A))
	sent, read := time.Now(), conn.transport.bytesRead.Load()
	pending := conn.rpc.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	if err := c.wait(ctx, to, conn, pending); err != nil {
		if ctx.Err() != nil {
			c.noteTimeout(conn, sent)
		}
		var refused rpc.ServerError
		if errors.As(err, &refused) {
			return nil, refused
		}
		return nil, &CallError{Method: method, Sent: true, Read: conn.transport.bytesRead.Load() - read, Cause: err}
	}
	return out, nil
}

// wait waits for a call to end and pings the other side meanwhile.
func (c *Client) wait(ctx context.Context, to Target, conn *clientConn, pending *rpc.Call) error {
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	ended := func() error {
		if pending.Error != nil && !isServerError(pending.Error) {
			c.discard(to, conn)
		}
		return pending.Error
	}
	for {
		select {
		case <-pending.Done:
			return ended()
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		}
		if err := conn.ping(ctx, silenceTimeout); err != nil {
			var silent *SilentError
			if errors.As(err, &silent) && conn.transport.readSince(time.Now().Add(-silenceTimeout)) {
				// What arrives is the other data of a full link.
				timer.Reset(0)
				continue
			}
			// A server that shuts down responds to the call and not to the ping.
			select {
			case <-pending.Done:
				return ended()
			default:
			}
			c.discardDead(to, conn, err)
			return err
		}
		timer.Reset(pingInterval)
	}
}

// noteTimeout records a call that timed out. Calls with short deadlines end before the
// connection is pinged; without this record, a silent connection would be kept for as
// long as only such calls use it.
func (c *Client) noteTimeout(conn *clientConn, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.silentSince.IsZero() || conn.transport.readSince(conn.silentSince) {
		conn.silentSince = sent
	}
}

// isSilent reports whether calls have timed out for at least pingInterval with nothing
// read. For a peer that is merely slow, the cost is a new connection. The caller holds
// mu.
func (conn *clientConn) isSilent(now time.Time) bool {
	return !conn.silentSince.IsZero() && now.Sub(conn.silentSince) >= pingInterval && !conn.transport.readSince(conn.silentSince)
}

func isServerError(err error) bool {
	var refused rpc.ServerError
	return errors.As(err, &refused)
}

// ping pings the other side and waits for the response. Its error is a SilentError on
// timeout, or the error that ended the connection. It is nil if ctx ends first.
func (conn *clientConn) ping(ctx context.Context, timeout time.Duration) error {
	pending := conn.rpc.Go(serviceName+".Ping", &wire.Empty{}, &wire.Empty{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.Done:
		return pending.Error
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return &SilentError{}
	}
}

// discardDead closes a connection whose ping failed, and calls OnSilent if the ping timed
// out.
func (c *Client) discardDead(to Target, conn *clientConn, cause error) {
	c.discard(to, conn)
	var silent *SilentError
	if c.OnSilent != nil && errors.As(cause, &silent) {
		c.OnSilent(to)
	}
}

// acquire returns an open connection, which the caller must release unless there is an
// error. An idle connection is pinged first: it may have gone silent or been closed, and
// a call sent over it would count as one that the other side may have served.
func (c *Client) acquire(ctx context.Context, to Target) (*clientConn, error) {
	conn, idle, err := c.getOrDial(ctx, to)
	if err != nil || !idle {
		return conn, err
	}
	pingErr := conn.ping(ctx, idlePingTimeout)
	if pingErr == nil {
		return conn, nil
	}
	c.discardDead(to, conn, pingErr)
	c.release(to, conn)
	conn, _, err = c.getOrDial(ctx, to)
	return conn, err
}

// getOrDial returns an open connection, dialling one if needed, and whether the
// connection was idle. It counts the caller as a user.
func (c *Client) getOrDial(ctx context.Context, to Target) (conn *clientConn, idle bool, err error) {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = map[Target]*clientConn{}
	}
	conn = c.conns[to]
	now := time.Now()
	silent := conn != nil && conn.isSilent(now)
	if silent && conn.users == 0 {
		defer conn.close()
	}
	dial := conn == nil || silent
	if dial {
		conn = &clientConn{ready: make(chan struct{})}
		c.conns[to] = conn
	}
	idle = !dial && conn.users == 0 && !conn.idleSince.After(now.Add(-idlePingAfter))
	conn.users++
	c.mu.Unlock()
	if silent && c.OnSilent != nil {
		c.OnSilent(to)
	}
	if dial {
		go c.dial(to, conn)
	}
	select {
	case <-conn.ready:
	case <-ctx.Done():
		c.release(to, conn)
		return nil, false, context.Cause(ctx)
	}
	return conn, idle, conn.err
}

func (c *Client) dial(to Target, conn *clientConn) {
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	transport, err := c.open(ctx, to)
	if err != nil {
		c.mu.Lock()
		conn.err = err
		if c.conns[to] == conn {
			delete(c.conns, to)
		}
		c.mu.Unlock()
		close(conn.ready)
		return
	}
	conn.transport = &meteredConn{Conn: transport, traffic: &c.traffic}
	conn.rpc = rpc.NewClientWithCodec(clientCodec{newCodec(conn.transport)})
	close(conn.ready)
}

func (c *Client) open(ctx context.Context, to Target) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, to)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	var conf *tls.Config
	if c.TLS != nil {
		conf = c.TLS(to.Host)
	}
	if conf == nil {
		return dialer.DialContext(ctx, "tcp", to.Address.String())
	}
	return (&tls.Dialer{NetDialer: dialer, Config: conf}).DialContext(ctx, "tcp", to.Address.String())
}

// release ends one use of a connection. A connection without users is closed if it was
// replaced, and otherwise once it has been idle for idleTimeout.
func (c *Client) release(to Target, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.users--
	if conn.users > 0 {
		return
	}
	conn.idleSince = time.Now()
	if c.conns[to] != conn {
		conn.close()
		return
	}
	if conn.idleTimer == nil {
		conn.idleTimer = time.AfterFunc(idleTimeout, func() { c.closeIdle(to, conn) })
		return
	}
	conn.idleTimer.Reset(idleTimeout)
}

func (c *Client) closeIdle(to Target, conn *clientConn) {
	c.mu.Lock()
	idle := conn.users == 0 && c.conns[to] == conn
	c.mu.Unlock()
	if idle {
		c.discard(to, conn)
	}
}

// discard closes a connection; the next call dials a new one.
func (c *Client) discard(to Target, conn *clientConn) {
	c.mu.Lock()
	if c.conns[to] == conn {
		delete(c.conns, to)
	}
	c.mu.Unlock()
	conn.close()
}

// close closes an open connection. A connection that is still being dialled is closed
// when its last user releases it.
func (conn *clientConn) close() {
	select {
	case <-conn.ready:
		if conn.rpc != nil {
			_ = conn.rpc.Close()
		}
	default:
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = nil
	c.mu.Unlock()
	for _, conn := range conns {
		<-conn.ready
		if conn.rpc != nil {
			conn.rpc.Close()
		}
	}
}

// Traffic returns the numbers of bytes sent and received since the start.
func (c *Client) Traffic() (sent, received int64) {
	return c.traffic.sent.Load(), c.traffic.received.Load()
}

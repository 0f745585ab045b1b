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
	// pingEvery is how long a call may be outstanding before the connection is
	// asked for a sign of life, and silence how long that may take. A connection
	// that has gone silent is closed within their sum.
	pingEvery = time.Second
	silence   = 1500 * time.Millisecond
	// idleTime is how long a connection without calls is kept. Processes talk to
	// random peers, so most connections are used once; at 1,040 processes
	// keeping all of them would cost more memory than a handshake does time.
	idleTime = 10 * time.Second
	// idleCheck is after how long without use a connection is asked for a sign
	// of life before it is used again, and reuseTime how long that may take. It
	// costs a round trip of a millisecond or two, where calls come further
	// apart; pinging all idle connections would cost bytes all the time.
	idleCheck = time.Second
	reuseTime = 500 * time.Millisecond
)

// CallError reports a call that got no answer.
type CallError struct {
	Method string
	// Sent tells that the other side may have served the call.
	Sent bool
	// Read is how many bytes were read from the connection during the call, those of other
	// calls included.
	Read  int64
	Cause error
}

// Error implements error.
func (e *CallError) Error() string { return "call " + e.Method + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// SilentError reports a connection that has gone silent.
type SilentError struct{}

// Error implements error.
func (*SilentError) Error() string { return "the connection has gone silent" }

// Target is a process to call.
type Target struct {
	Host    core.HostName
	Address netip.AddrPort
}

// Client makes calls of other processes. Set the exported fields before use.
type Client struct {
	// TLS returns the configuration towards a host, nil for none. An empty host
	// is any own process.
	TLS func(core.HostName) *tls.Config
	// Silent is told of each connection closed for its silence.
	Silent func(Target)
	// Called is told of each call by its method's name: whether it was answered.
	Called func(method string, ok bool)

	mu    sync.Mutex
	conns map[Target]*clientConn
	count traffic
}

// clientConn is a connection, or one that is being dialled.
type clientConn struct {
	ready chan struct{}
	link  *link
	rpc   *rpc.Client
	err   error
	idle  *time.Timer
	busy  int
	// released is when the last use ended.
	released time.Time
	// quiet is when the first call was sent that ended late without anything
	// being read since; zero where there is none.
	quiet time.Time
}

// call makes one call; the deadline is the context's. Its error is a CallError,
// or an rpc.ServerError where the other side answered with one.
func call[A any, P interface {
	*A
	proto.Message
}](ctx context.Context, c *Client, to Target, method string, in proto.Message) (P, error) {
	out, err := callOnce[A, P](ctx, c, to, method, in)
	if c.Called != nil {
		c.Called(method, err == nil)
	}
	return out, err
}

func callOnce[A any, P interface {
	*A
	proto.Message
}](ctx context.Context, c *Client, to Target, method string, in proto.Message) (P, error) {
	conn, err := c.connect(ctx, to)
	if err != nil {
		return nil, &CallError{Method: method, Cause: err}
	}
	defer c.release(to, conn)
	out := P(new(A))
	sent, read := time.Now(), conn.link.read.Load()
	pending := conn.rpc.Go(serviceName+"."+method, in, out, make(chan *rpc.Call, 1))
	if err := c.wait(ctx, to, conn, pending); err != nil {
		if ctx.Err() != nil {
			c.noteLate(conn, sent)
		}
		var refused rpc.ServerError
		if errors.As(err, &refused) {
			return nil, refused
		}
		return nil, &CallError{Method: method, Sent: true, Read: conn.link.read.Load() - read, Cause: err}
	}
	return out, nil
}

// wait waits for a call, and finds out meanwhile whether the connection lives.
func (c *Client) wait(ctx context.Context, to Target, conn *clientConn, pending *rpc.Call) error {
	timer := time.NewTimer(pingEvery)
	defer timer.Stop()
	for {
		select {
		case <-pending.Done:
			if pending.Error != nil && !isServerError(pending.Error) {
				c.discard(to, conn)
			}
			return pending.Error
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		}
		if err := conn.alive(ctx, silence); err != nil {
			c.giveUp(to, conn, err)
			return err
		}
		timer.Reset(pingEvery)
	}
}

// noteLate notes that a call ended late. Calls with short deadlines end before
// the connection is asked for a sign of life; without the note, a silent
// connection would be kept for as long as such calls come.
func (c *Client) noteLate(conn *clientConn, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.quiet.IsZero() || conn.link.heardSince(conn.quiet) {
		conn.quiet = sent
	}
}

// isSilent tells whether calls have ended late for too long with nothing read.
// A slow peer at worst has a connection dialled anew. The caller holds mu.
func (conn *clientConn) isSilent(now time.Time) bool {
	return !conn.quiet.IsZero() && now.Sub(conn.quiet) >= pingEvery && !conn.link.heardSince(conn.quiet)
}

func isServerError(err error) bool {
	var refused rpc.ServerError
	return errors.As(err, &refused)
}

// alive asks the other end for a sign of life and waits for it for a time. Its
// error is a SilentError, or what ended the connection.
func (conn *clientConn) alive(ctx context.Context, wait time.Duration) error {
	ping := conn.rpc.Go(serviceName+".Ping", &wire.Empty{}, &wire.Empty{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ping.Done:
		return ping.Error
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return &SilentError{}
	}
}

// giveUp closes a connection that showed no sign of life.
func (c *Client) giveUp(to Target, conn *clientConn, cause error) {
	c.discard(to, conn)
	var silent *SilentError
	if c.Silent != nil && errors.As(cause, &silent) {
		c.Silent(to)
	}
}

// connect returns a connection in use. One that has been idle is asked for a
// sign of life first: it may have gone silent or been closed meanwhile, and a
// call sent on it would count as one that the other side may have served.
func (c *Client) connect(ctx context.Context, to Target) (*clientConn, error) {
	conn, idle, err := c.reach(ctx, to)
	if err != nil || !idle {
		return conn, err
	}
	dead := conn.alive(ctx, reuseTime)
	if dead == nil {
		return conn, nil
	}
	c.giveUp(to, conn, dead)
	c.release(to, conn)
	conn, _, err = c.reach(ctx, to)
	return conn, err
}

// reach returns a connection in use, dialling it where there is none, and
// whether it has been idle.
func (c *Client) reach(ctx context.Context, to Target) (conn *clientConn, idle bool, err error) {
	c.mu.Lock()
	if c.conns == nil {
		c.conns = map[Target]*clientConn{}
	}
	conn = c.conns[to]
	now := time.Now()
	silent := conn != nil && conn.isSilent(now)
	if silent && conn.busy == 0 {
		defer conn.close()
	}
	dial := conn == nil || silent
	if dial {
		conn = &clientConn{ready: make(chan struct{})}
		c.conns[to] = conn
	}
	idle = !dial && conn.busy == 0 && !conn.released.After(now.Add(-idleCheck))
	conn.busy++
	c.mu.Unlock()
	if silent && c.Silent != nil {
		c.Silent(to)
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
	raw, err := c.open(ctx, to)
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
	conn.link = &link{Conn: raw, count: &c.count}
	conn.rpc = rpc.NewClientWithCodec(clientCodec{newCodec(conn.link)})
	close(conn.ready)
}

func (c *Client) open(ctx context.Context, to Target) (net.Conn, error) {
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

// release ends one use; a connection that is not used again is closed.
func (c *Client) release(to Target, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.busy--
	if conn.busy > 0 {
		return
	}
	conn.released = time.Now()
	if c.conns[to] != conn {
		conn.close()
		return
	}
	if conn.idle == nil {
		conn.idle = time.AfterFunc(idleTime, func() { c.closeIdle(to, conn) })
		return
	}
	conn.idle.Reset(idleTime)
}

func (c *Client) closeIdle(to Target, conn *clientConn) {
	c.mu.Lock()
	idle := conn.busy == 0 && c.conns[to] == conn
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

// close closes a connection that has been dialled; one that is being dialled
// is closed by whoever waits for it.
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
	list := c.conns
	c.conns = nil
	c.mu.Unlock()
	for _, conn := range list {
		<-conn.ready
		if conn.rpc != nil {
			conn.rpc.Close()
		}
	}
}

// Traffic returns the bytes sent and received so far.
func (c *Client) Traffic() (sent, received int64) {
	return c.count.sent.Load(), c.count.received.Load()
}

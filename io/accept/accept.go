package accept

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"radishwell/core"
)

// Listener accepts connections while the server keeps up with them, and resets the others unread.
// The exported fields have to be set before the first Accept.
type Listener struct {
	net.Listener
	// MaxWaiting bounds the connections whose request waits for the processor: those that were
	// accepted and not looked at, and those of which a part of the first request was read that
	// is not understood yet. MaxOpen bounds all open connections. Zero means no bound.
	MaxWaiting, MaxOpen int
	// OnRefuse, if set, is called for each connection that is refused, by the goroutine that
	// accepts.
	OnRefuse func(Reason)
	// Clock, if set, has the connections note when responses are written, for SentSince.
	Clock core.Clock

	waiting, open atomic.Int64
}

// Reason is why a connection is refused.
type Reason uint8

// Reasons.
const (
	// Busy: too many connections wait for the processor.
	Busy Reason = iota
	// Full: too many connections are open.
	Full
)

// String returns the reason's name.
func (r Reason) String() string {
	if r == Full {
		return "full"
	}
	return "busy"
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		switch {
		case l.MaxWaiting > 0 && l.waiting.Load() >= int64(l.MaxWaiting):
			l.refuse(c, Busy)
		case l.MaxOpen > 0 && l.open.Load() >= int64(l.MaxOpen):
			l.refuse(c, Full)
		default:
			l.open.Add(1)
			l.waiting.Add(1)
			return &conn{Conn: c, listener: l, waits: true, exchange: exchange{clock: l.Clock}}, nil
		}
	}
}

func (l *Listener) refuse(c net.Conn, why Reason) {
	Reset(c)
	if l.OnRefuse != nil {
		l.OnRefuse(why)
	}
}

// Reset closes a connection with a reset. A TLS connection is not closed as such, since its
// closing alert stands for a complete response.
func Reset(c net.Conn) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // it fails only if the connection has ended already
	}
	_ = c.Close()
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	exchange exchange
	// understood is set once the first request has been understood. The connection counts no
	// longer then.
	understood atomic.Bool
	closed     sync.Once

	mu sync.Mutex
	// waits is set while the connection counts as waiting.
	waits bool
}

// Read implements net.Conn. A connection that waits for bytes does not wait for the processor.
func (c *conn) Read(p []byte) (int, error) {
	// net/http reads a single byte in the background to notice that a caller leaves, while the
	// request waits for the processor.
	ahead := len(p) <= 1
	if c.understood.Load() || ahead {
		n, err := c.Conn.Read(p)
		c.exchange.noteRead(n, ahead)
		return n, err
	}
	c.setWaits(false)
	n, err := c.Conn.Read(p)
	c.exchange.noteRead(n, ahead)
	c.setWaits(n > 0)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.exchange.noteWrite()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() {
		c.understood.Store(true)
		c.setWaits(false)
		c.listener.open.Add(-1)
	})
	return c.Conn.Close()
}

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

func (c *conn) setWaits(waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits = waits && !c.understood.Load()
	if waits == c.waits {
		return
	}
	c.waits = waits
	if waits {
		c.listener.waiting.Add(1)
	} else {
		c.listener.waiting.Add(-1)
	}
}

type connKey struct{}

// WithConn returns a context for the requests of a connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	secure, isTLS := c.(*tls.Conn)
	if isTLS {
		c = secure.NetConn()
	}
	if c, ok := c.(*conn); ok {
		if isTLS {
			c.exchange.setUnordered() // handshakes and alerts are written, too
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// SetUnfinished sets whether a connection carries a response without framing that has not ended.
// While it does, the connection ends with a reset, also when the process is killed and the system
// closes it: an orderly end would make the response look complete. ctx is a request's context.
func SetUnfinished(ctx context.Context, unfinished bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	linger := -1 // the system's default
	if unfinished {
		linger = 0
	}
	_ = c.SetLinger(linger) // it fails only if the connection has ended already
}

// Understood tells the listener that a request has been understood, or answered. ctx is the
// request's context.
func Understood(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && !c.understood.Swap(true) {
		c.setWaits(false)
	}
}

package peer

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout bounds one write. A silent connection accepts data until the kernel's
	// buffer is full and then blocks; without the timeout, all calls that share the
	// connection would block past their own deadlines.
	writeTimeout = 3 * time.Second
	// serverIdleTimeout is how long the server keeps a connection on which nothing
	// arrives. Clients close idle connections sooner and ping while they wait, so only a
	// client that vanished without closing is quiet for this long.
	serverIdleTimeout = idleTimeout + 5*time.Second
)

// byteCounts counts the bytes of a process's control connections.
type byteCounts struct{ sent, received atomic.Int64 }

// meteredConn counts the bytes of a connection and bounds how long its reads and writes
// block.
type meteredConn struct {
	net.Conn
	traffic *byteCounts
	// readTimeout bounds one read; zero means no bound.
	readTimeout time.Duration
	// lastRead is when data was last read, in nanoseconds since the Unix epoch.
	lastRead atomic.Int64
	// bytesRead counts the bytes read.
	bytesRead atomic.Int64
	// readsStopped makes reads fail while writes still work, so that a server that shuts
	// down can still respond to the calls that it has read.
	readsStopped atomic.Bool
}

// Read implements io.Reader.
func (c *meteredConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	// stopReads sets the flag before its own deadline. By setting the read deadline
	// before checking the flag, Read either sees the flag or is interrupted by that
	// deadline.
	if c.readsStopped.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	c.bytesRead.Add(int64(n))
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// stopReads makes all reads fail, including one in progress. Writes are not affected.
func (c *meteredConn) stopReads() {
	c.readsStopped.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// readSince reports whether any data was read since t.
func (c *meteredConn) readSince(t time.Time) bool { return c.lastRead.Load() >= t.UnixNano() }

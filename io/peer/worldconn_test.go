package peer

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// worldConn is one end of a connection between two hosts of a world. Writes do not block: a process
// that waits for a mutex would stop the fake time.
type worldConn struct {
	host, peer *worldHost
	in, out    *worldStream
}

// worldStream is one direction of a connection.
type worldStream struct {
	mu     sync.Mutex
	chunks []chunk
	// closed is set by the writer, aborted by the reader.
	closed, aborted bool
	deadline        time.Time
	// wake has a value if one of these has changed.
	wake chan struct{}
}

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// connect returns the two ends of a connection.
func connect(from, to *worldHost) (near, far *worldConn) {
	a, b := &worldStream{wake: make(chan struct{}, 1)}, &worldStream{wake: make(chan struct{}, 1)}
	return &worldConn{host: from, peer: to, in: a, out: b}, &worldConn{host: to, peer: from, in: b, out: a}
}

func (s *worldStream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// next returns the first chunk if it is due, or how long to wait for it.
func (s *worldStream) next(now time.Time, most int) (data []byte, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = time.Hour
	switch {
	case s.aborted:
		return nil, 0, net.ErrClosed
	case len(s.chunks) > 0 && !now.Before(s.chunks[0].due):
		c := &s.chunks[0]
		data = c.data[:min(most, len(c.data))]
		if c.data = c.data[len(data):]; len(c.data) == 0 {
			s.chunks = s.chunks[1:]
		}
		return data, 0, nil
	case len(s.chunks) > 0:
		wait = s.chunks[0].due.Sub(now)
	case s.closed:
		return nil, 0, io.EOF
	}
	if !s.deadline.IsZero() {
		if !now.Before(s.deadline) {
			return nil, 0, os.ErrDeadlineExceeded
		}
		wait = min(wait, s.deadline.Sub(now))
	}
	return nil, wait, nil
}

// Read implements net.Conn.
func (c *worldConn) Read(p []byte) (int, error) {
	for {
		c.host.awaitHeal()
		c.peer.awaitHeal()
		c.host.awaitThaw()
		data, wait, err := c.in.next(time.Now(), len(p))
		if len(data) > 0 || err != nil {
			return copy(p, data), err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-c.in.wake:
		}
		timer.Stop()
	}
}

// Write implements net.Conn.
func (c *worldConn) Write(p []byte) (int, error) {
	due := c.host.transit(c.peer, len(p))
	c.out.change(func() { c.out.chunks = append(c.out.chunks, chunk{data: append([]byte(nil), p...), due: due}) })
	return len(p), nil
}

// Close implements net.Conn.
func (c *worldConn) Close() error {
	c.in.change(func() { c.in.aborted = true })
	c.out.change(func() { c.out.closed = true })
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *worldConn) SetReadDeadline(t time.Time) error {
	c.in.change(func() { c.in.deadline = t })
	return nil
}

// SetDeadline implements net.Conn.
func (c *worldConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *worldConn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *worldConn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.host.self.Address) }

// RemoteAddr implements net.Conn.
func (c *worldConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.peer.self.Address) }

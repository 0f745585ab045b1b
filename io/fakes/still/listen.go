package still

import (
	"net"
	"sync"
)

// Listener is a listener of a process that can be stopped. Its connections are read and written only while
// the process runs.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// runs is closed while the process runs.
	runs chan struct{}
}

// New returns a listener of a process that runs.
func New(l net.Listener) *Listener {
	s := &Listener{Listener: l, runs: make(chan struct{})}
	close(s.runs)
	return s
}

// Stop has the process stand still until Continue.
func (l *Listener) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.runs:
		l.runs = make(chan struct{})
	default: // it stands still already
	}
}

// Continue has the process run again.
func (l *Listener) Continue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.runs:
	default:
		close(l.runs)
	}
}

// await waits until the process runs.
func (l *Listener) await() {
	l.mu.Lock()
	runs := l.runs
	l.mu.Unlock()
	<-runs
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.await()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, of: l}, nil
}

// Close implements net.Listener. A process that ends stands still no longer.
func (l *Listener) Close() error {
	l.Continue()
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	of *Listener
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.await()
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.of.await()
	return c.Conn.Write(b)
}

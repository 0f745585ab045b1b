package peer

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeLimit bounds one write. A connection that has gone silent takes data
	// until the kernel's buffer is full and then blocks; without the limit all
	// calls that share the connection would block with it, past their own
	// deadlines.
	writeLimit = 3 * time.Second
	// quietLimit is after how long without a call the called side closes a
	// connection. Callers close theirs sooner, and ping while they wait, so only
	// a caller that is gone without notice is as quiet as this.
	quietLimit = idleTime + 5*time.Second
)

// traffic counts the bytes of a process's control connections.
type traffic struct{ sent, received atomic.Int64 }

// link is a connection that counts what passes it and bounds how long it
// blocks.
type link struct {
	net.Conn
	count *traffic
	// readLimit bounds one read; zero is no bound.
	readLimit time.Duration
	// readAt is when something was last read, in nanoseconds since the epoch.
	readAt atomic.Int64
	// read counts the bytes read.
	read atomic.Int64
	// stopped makes reading fail, for a stop that still answers calls.
	stopped atomic.Bool
}

// Read implements io.Reader.
func (l *link) Read(p []byte) (int, error) {
	if l.readLimit > 0 {
		if err := l.SetReadDeadline(time.Now().Add(l.readLimit)); err != nil {
			return 0, err
		}
	}
	// The deadline comes first: stop sets the flag before its own deadline, so
	// that either the flag is seen here or its deadline is the later one.
	if l.stopped.Load() {
		return 0, net.ErrClosed
	}
	n, err := l.Conn.Read(p)
	if n > 0 {
		l.readAt.Store(time.Now().UnixNano())
	}
	l.read.Add(int64(n))
	l.count.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (l *link) Write(p []byte) (int, error) {
	if err := l.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return 0, err
	}
	n, err := l.Conn.Write(p)
	l.count.sent.Add(int64(n))
	return n, err
}

// stop makes reads fail, the one in progress too; writes go on.
func (l *link) stop() {
	l.stopped.Store(true)
	_ = l.SetReadDeadline(time.Unix(1, 0))
}

// heardSince tells whether anything was read since a time.
func (l *link) heardSince(t time.Time) bool { return l.readAt.Load() >= t.UnixNano() }

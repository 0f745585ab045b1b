package peer

import (
	"io"
	"sync/atomic"
)

// traffic counts the bytes of a process's control connections.
type traffic struct{ sent, received atomic.Int64 }

// countedConn counts what passes a connection.
type countedConn struct {
	io.ReadWriteCloser
	count *traffic
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	c.count.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Write(p)
	c.count.sent.Add(int64(n))
	return n, err
}

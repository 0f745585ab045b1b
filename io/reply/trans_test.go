package reply_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/reply"
)

// resetConn is a connection whose peer resets it after an answer: the system tells the writing side, and
// the reading side sees an orderly end.
type resetConn struct {
	answer *strings.Reader
	// accepts is the number of bytes of the request that are written before the reset.
	accepts int
	mu      sync.Mutex
	wrote   int
	// begun is closed with the first bytes, and reset with those that are not accepted.
	begun, reset chan struct{}
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote == 0 {
		close(c.begun)
	}
	if c.wrote += len(p); c.wrote <= c.accepts {
		return len(p), nil
	}
	select {
	case <-c.reset:
	default:
		close(c.reset)
	}
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.begun
	if n, err := c.answer.Read(p); err == nil {
		return n, nil
	}
	<-c.reset
	return 0, io.EOF
}

func (c *resetConn) Close() error                     { return nil }
func (c *resetConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *resetConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *resetConn) SetDeadline(time.Time) error      { return nil }
func (c *resetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a part of an answer that is taken for the whole, since only the writing side saw the
// reset.
func TestResetSeenByWriterCutsAnswer(t *testing.T) {
	whole := 0
	for range 300 {
		conn := &resetConn{answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart"), accepts: 8 << 10, begun: make(chan struct{}), reset: make(chan struct{})}
		client := reply.NewClient(&http.Transport{
			DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		})
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://upstream/", bytes.NewReader(make([]byte, 1<<20)))
		assert.NilError(t, err)
		resp, err := client.Do(req)
		if err != nil {
			continue // the reset was seen before the head
		}
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			whole++
		}
		assert.Check(t, err == nil || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET), "%v", err)
	}
	assert.Equal(t, whole, 0)
}

// Guards against a malformed response that one of the readers of responses takes for one.
func TestMalformedHeadIsAnError(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	texts := make(chan string, 1)
	go func() { // it ends with the listener
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, <-texts)
			_ = conn.Close()
		}
	}()
	defer lis.Close()
	client := reply.NewClient(&http.Transport{DisableKeepAlives: true})
	for text, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Y: a\tb \xe9\r\nx.y: z\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.0 599 Odd\r\n\r\n":                        true,
		"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n":   false,
		"HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n":   false,
		"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n":    false,
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nX Y: 0\r\n\r\n":               false,
		"HTTP/1.1 200 OK\r\nX-Y: a\x00\r\n\r\n":           false,
		"HTTP/1.1 200 OK\r\nX/Y: a\r\n\r\n":               false,
		"HTTP/1.1 200 OK\r\nX-Y: a\r\nX-Y: a\x7f\r\n\r\n": false,
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			texts <- text
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+lis.Addr().String()+"/", nil)
			assert.NilError(t, err)
			resp, err := client.Do(req)
			if err == nil {
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
			}
			assert.Equal(t, err == nil, sound, "%v", err)
		})
	}
}

package accept_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/accept"
)

// stepClock is a clock that shows the seconds that it was set to.
type stepClock struct{ at atomic.Int64 }

func (c *stepClock) Now() time.Time { return time.Unix(c.at.Load(), 0) }

// readListener counts the reads of its connections that brought something.
type readListener struct {
	net.Listener
	reads atomic.Int64
}

func (l *readListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return readConn{c, l}, err
}

type readConn struct {
	net.Conn
	listener *readListener
}

func (c readConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.reads.Add(1)
	}
	return n, err
}

// sinceServer answers each request with the time since which it may have been sent, in seconds, once it is released.
type sinceServer struct {
	clock             stepClock
	listener          readListener
	entered, released chan struct{}
	conn              net.Conn
	in                *bufio.Reader
}

func startSinceServer(t *testing.T) *sinceServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &sinceServer{entered: make(chan struct{}), released: make(chan struct{})}
	s.listener.Listener = lis
	srv := &http.Server{ConnContext: accept.WithConn, ReadHeaderTimeout: time.Minute, Handler: s}
	go func() { _ = srv.Serve(&accept.Listener{Listener: &s.listener, Clock: &s.clock}) }() // it ends with Close
	t.Cleanup(func() { _ = srv.Close() })
	s.conn, err = net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.conn.Close() })
	s.in = bufio.NewReader(s.conn)
	return s
}

func (s *sinceServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, ok := accept.SentSince(r.Context())
	_, _ = io.Copy(io.Discard, r.Body)
	s.entered <- struct{}{}
	<-s.released
	_, _ = fmt.Fprint(w, at.Unix(), " ", ok)
}

// send sends a part of requests and waits until the server has read something.
func (s *sinceServer) send(t *testing.T, part string) {
	t.Helper()
	before := s.listener.reads.Load()
	_, err := io.WriteString(s.conn, part)
	assert.NilError(t, err)
	for s.listener.reads.Load() == before {
		time.Sleep(time.Millisecond)
	}
}

// answer releases the request that the server handles and returns the body of the response.
func (s *sinceServer) answer(t *testing.T) string {
	t.Helper()
	s.released <- struct{}{}
	for {
		resp, err := http.ReadResponse(s.in, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		if resp.StatusCode != http.StatusContinue {
			return string(body)
		}
	}
}

const getRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// Guards against requests that count as sent when they are read, though a link has held them.
func TestSentSincePreviousResponse(t *testing.T) {
	for name, request := range map[string]string{
		"without a body": getRequest,
		"with a body":    "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000\r\n\r\n" + fmt.Sprintf("%5000d", 1),
		"that waits for the server to ask for its body": "POST / HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			s := startSinceServer(t)
			for n := range int64(4) {
				s.clock.at.Store(10*n + 5) // while a link holds the request
				s.send(t, request)
				<-s.entered
				s.clock.at.Store(10 * (n + 1))
				got := s.answer(t)
				if n > 0 {
					assert.Equal(t, got, fmt.Sprint(10*n, " true"))
					continue
				}
				assert.Equal(t, got[len(got)-len("false"):], "false")
			}
		})
	}
}

// Guards against requests that count as sent after a response for which their caller has not waited.
func TestRequestsAheadOfResponsesAreNotSince(t *testing.T) {
	const both = getRequest + getRequest
	for name, split := range map[string]int{"together": len(both), "while the response is made": len(getRequest), "in the middle": len(getRequest) + 9} {
		t.Run(name, func(t *testing.T) {
			s := startSinceServer(t)
			s.clock.at.Store(1)
			s.send(t, both[:split])
			<-s.entered
			if split < len(both) {
				s.send(t, both[split:])
			}
			_ = s.answer(t)
			<-s.entered
			second := s.answer(t)
			assert.Equal(t, second[len(second)-len("false"):], "false")
			s.send(t, getRequest)
			<-s.entered
			third := s.answer(t)
			assert.Equal(t, third[len(third)-len("false"):], "false", "the caller may do so again")
		})
	}
}

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

// sinceServer answers each request with the time since which it may have been sent, in seconds.
func sinceServer(t *testing.T, clock *stepClock) net.Conn {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{ConnContext: accept.WithConn, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at, ok := accept.SentSince(r.Context())
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(20 * time.Millisecond) // for what the caller sends meanwhile
		_, _ = fmt.Fprint(w, at.Unix(), " ", ok)
	})}
	go func() { _ = srv.Serve(&accept.Listener{Listener: lis, Clock: clock}) }() // it ends with Close
	t.Cleanup(func() { _ = srv.Close() })
	c, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const getRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// Guards against requests that count as sent when they are read, though a link has held them.
func TestSentSincePreviousResponse(t *testing.T) {
	for name, send := range map[string]string{
		"without a body": getRequest,
		"with a body":    "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000\r\n\r\n" + fmt.Sprintf("%5000d", 1),
		"that waits for the server to ask for its body": "POST / HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			clock := &stepClock{}
			c := sinceServer(t, clock)
			in := bufio.NewReader(c)
			for n := range int64(4) {
				clock.at.Store(10*n + 5) // while a link holds the request
				_, err := io.WriteString(c, send)
				assert.NilError(t, err)
				time.Sleep(5 * time.Millisecond) // until it is read
				clock.at.Store(10 * (n + 1))
				want := "true"
				if n == 0 {
					want = "false"
				}
				got := readBody(t, in)
				assert.Equal(t, got[len(got)-len(want):], want)
				if n > 0 {
					assert.Equal(t, got, fmt.Sprint(10*n, " true"))
				}
			}
		})
	}
}

// Guards against requests that count as sent after a response for which their caller has not waited.
func TestRequestsAheadOfResponsesAreNotSince(t *testing.T) {
	for name, split := range map[string]int{"together": 0, "while the response is made": len(getRequest), "in the middle": len(getRequest) + 9} {
		t.Run(name, func(t *testing.T) {
			clock := &stepClock{}
			clock.at.Store(1)
			c := sinceServer(t, clock)
			in := bufio.NewReader(c)
			both := getRequest + getRequest
			_, err := io.WriteString(c, both[:split])
			assert.NilError(t, err)
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(c, both[split:])
			assert.NilError(t, err)
			_ = readBody(t, in)
			second := readBody(t, in)
			assert.Equal(t, second[len(second)-len("false"):], "false")
			_, err = io.WriteString(c, getRequest)
			assert.NilError(t, err)
			third := readBody(t, in)
			assert.Equal(t, third[len(third)-len("false"):], "false", "the caller may do so again")
		})
	}
}

func readBody(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusContinue {
		return readBody(t, in)
	}
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

package rawtcp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/io/reply"
)

// timeout bounds the time in which a caller reads its answer.
const timeout = 20 * time.Second

// Answer is what an upstream does after it has read a request.
type Answer struct {
	// Bytes are written, with the request's ID in place of each {id}.
	Bytes string
	// Keep keeps the connection for a further request. It is closed otherwise, by a reset if Reset
	// is set.
	Keep, Reset bool
}

// Server is an upstream. It gives the answers in the order in which requests arrive, and the last
// one to all further requests.
type Server struct {
	// IDField is the name of the field with a request's ID.
	IDField string

	mu       sync.Mutex
	answers  []Answer
	requests int
	// accepted counts connections, and conns has those that are open.
	accepted int
	conns    map[net.Conn]bool
	closed   bool
	// listeners are those of all addresses.
	listeners []net.Listener
	ended     sync.WaitGroup
}

// Listen starts to serve at a further address, and returns it.
func (s *Server) Listen() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
	s.ended.Go(func() { s.accept(listener) })
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, listener := range s.listeners {
		listener.Close()
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.ended.Wait()
}

// SetAnswers replaces the answers, from the next request on.
func (s *Server) SetAnswers(answers ...Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers, s.requests = answers, 0
}

// Requests returns the number of requests that were read since the answers were set.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Accepted returns the number of connections that were accepted.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			conn.Close()
			return
		}
		s.ended.Go(func() { s.serve(conn) })
	}
}

// add reports whether a connection is to be served.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	s.accepted++
	s.conns[conn] = !s.closed
	return !s.closed
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	for in := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		// Bytes that are not read would turn the orderly close into a reset.
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		a := s.next()
		_, err = io.WriteString(conn, strings.ReplaceAll(a.Bytes, "{id}", req.Header.Get(s.IDField)))
		switch {
		case a.Reset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case err != nil || !a.Keep:
			return
		}
	}
}

func (s *Server) next() Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.answers[min(s.requests, len(s.answers))-1]
}

// Caller sends requests over one connection.
type Caller struct {
	conn net.Conn
	in   *bufio.Reader
}

// Dial connects to a server.
func Dial(address string) (*Caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{conn: conn, in: bufio.NewReader(conn)}, conn.SetDeadline(time.Now().Add(timeout))
}

// Close closes the connection.
func (c *Caller) Close() { c.conn.Close() }

// Reply is what a caller received. Its status is zero if no header arrived.
type Reply struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    string
	Framing core.Framing
	// Whole is set if the reply ended as a complete one does: with its length, its last chunk, or
	// an orderly close if it has neither.
	Whole bool
}

// LateError reports a reply that has not ended in time.
type LateError struct{}

// Error implements error.
func (*LateError) Error() string { return "the reply has not ended in time" }

// Ask writes a request and reads the reply.
func (c *Caller) Ask(method, request string) (Reply, error) {
	if _, err := io.WriteString(c.conn, request); err != nil {
		return Reply{}, nil // the connection was closed instead of a reply
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return Reply{}, late(err)
	}
	body, err := io.ReadAll(resp.Body)
	return Reply{
		Status: resp.StatusCode, Header: resp.Header, Trailer: resp.Trailer, Body: string(body),
		Framing: reply.Framing(resp), Whole: err == nil,
	}, late(err)
}

// late returns a LateError if an error is that of a deadline, and nil for others.
func late(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &LateError{}
	}
	return nil
}

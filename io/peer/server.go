package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"

	"radishwell/wire"
)

// serviceName is the name under which net/rpc finds the methods.
const serviceName = "Peer"

// Handler answers the calls of other processes. Fields that are nil answer with
// an UnsupportedError.
type Handler struct {
	Sync    func(*wire.SyncCall) (*wire.SyncReply, error)
	Probe   func(*wire.ProbeCall) (*wire.HostLoad, error)
	Slot    func(*wire.SlotCall) (*wire.SlotReply, error)
	Claim   func(*wire.ClaimCall) (*wire.ClaimReply, error)
	Seal    func(*wire.SealCall) (*wire.SealReply, error)
	Explain func(*wire.ExplainCall) (*wire.ExplainReply, error)
	Demand  func(*wire.DemandCall) (*wire.Empty, error)
}

// UnsupportedError answers a call that this role does not serve.
type UnsupportedError struct{ Method string }

// Error implements error.
func (e *UnsupportedError) Error() string { return "this process does not serve " + e.Method }

// methods is what net/rpc registers; each method copies the reply, since the
// library hands in the message to fill.
type methods struct{ handler *Handler }

// Sync serves an exchange of replicas.
func (m *methods) Sync(c *wire.SyncCall, out *wire.SyncReply) error {
	return answer("Sync", m.handler.Sync, c, out)
}

// Probe serves a question for this host's load.
func (m *methods) Probe(c *wire.ProbeCall, out *wire.HostLoad) error {
	return answer("Probe", m.handler.Probe, c, out)
}

// Slot serves a question for leave to read from the weight store.
func (m *methods) Slot(c *wire.SlotCall, out *wire.SlotReply) error {
	return answer("Slot", m.handler.Slot, c, out)
}

// Claim serves the recording of a claim.
func (m *methods) Claim(c *wire.ClaimCall, out *wire.ClaimReply) error {
	return answer("Claim", m.handler.Claim, c, out)
}

// Seal serves a question about an attempt.
func (m *methods) Seal(c *wire.SealCall, out *wire.SealReply) error {
	return answer("Seal", m.handler.Seal, c, out)
}

// Explain serves an operator's question.
func (m *methods) Explain(c *wire.ExplainCall, out *wire.ExplainReply) error {
	return answer("Explain", m.handler.Explain, c, out)
}

// Demand serves an entry's report of its models' demand.
func (m *methods) Demand(c *wire.DemandCall, out *wire.Empty) error {
	return answer("Demand", m.handler.Demand, c, out)
}

// Ping answers at once; it is how a silent connection is told from a slow call.
func (m *methods) Ping(*wire.Empty, *wire.Empty) error { return nil }

func answer[Q, A any](name string, serve func(*Q) (*A, error), call *Q, out *A) error {
	if serve == nil {
		return &UnsupportedError{Method: name}
	}
	reply, err := serve(call)
	if err != nil {
		return err
	}
	merge(out, reply)
	return nil
}

// Server takes the calls of other processes. Set the exported fields before
// Listen.
type Server struct {
	Address netip.AddrPort
	// TLS is used where set; it lets in only own processes.
	TLS     *tls.Config
	Handler *Handler

	listener net.Listener
	rpc      *rpc.Server
	count    traffic
	mu       sync.Mutex
	conns    map[net.Conn]bool
	serving  sync.WaitGroup
	closed   bool
}

// Listen takes the address, so that a second process on it fails at once.
func (s *Server) Listen() error {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Address))
	if err != nil {
		return err
	}
	s.Address = lis.Addr().(*net.TCPAddr).AddrPort()
	s.listener = lis
	if s.TLS != nil {
		s.listener = tls.NewListener(lis, s.TLS)
	}
	s.conns = map[net.Conn]bool{}
	s.rpc = rpc.NewServer()
	return s.rpc.RegisterName(serviceName, &methods{handler: s.Handler})
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.accept() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	s.close()
	<-ended
	s.serving.Wait()
	return nil
}

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		if !s.keep(conn) {
			conn.Close()
			continue
		}
		s.serving.Add(1)
		go func() {
			defer s.serving.Done()
			defer s.drop(conn)
			s.rpc.ServeCodec(serverCodec{newCodec(conn, &s.count)})
		}()
	}
}

func (s *Server) keep(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = true
	}
	return !s.closed
}

func (s *Server) drop(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	conn.Close()
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
}

// Traffic returns the bytes sent and received so far.
func (s *Server) Traffic() (sent, received int64) {
	return s.count.sent.Load(), s.count.received.Load()
}

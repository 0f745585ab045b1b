package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"radishwell/wire"
)

// serviceName is the name under which the methods are registered with net/rpc.
const serviceName = "Peer"

// Handler holds the functions that answer the calls of other processes. A call whose
// field is nil is answered with an UnsupportedError.
type Handler struct {
	Sync    func(*wire.SyncCall) (*wire.SyncReply, error)
	Fetch   func(*wire.FetchCall) (*wire.FetchReply, error)
	Probe   func(*wire.ProbeCall) (*wire.HostLoad, error)
	Slot    func(*wire.SlotCall) (*wire.SlotReply, error)
	Claim   func(*wire.ClaimCall) (*wire.ClaimReply, error)
	Seal    func(*wire.SealCall) (*wire.SealReply, error)
	Explain func(*wire.ExplainCall) (*wire.ExplainReply, error)
	Demand  func(*wire.DemandCall) (*wire.Empty, error)

	// The remaining calls are made on a managed platform only.
	Upstream func(*wire.UpstreamCall) (*wire.UpstreamReply, error)
	Goal     func(*wire.GoalCall) (*wire.GoalReply, error)
	Adapter  func(*wire.AdapterCall) (*wire.AdapterReply, error)
	Plan     func(*wire.PlanCall) (*wire.PlanReply, error)
	Digest   func(*wire.DigestCall) (*wire.DigestReply, error)
	Allow    func(*wire.AllowanceCall) (*wire.AllowanceReply, error)
}

// UnsupportedError is the answer to a call that this process's role does not serve.
type UnsupportedError struct{ Method string }

// Error implements error.
func (e *UnsupportedError) Error() string { return "this process does not serve " + e.Method }

// service is the value registered with net/rpc, which calls its methods by name. net/rpc
// allocates the reply, so each method copies the handler's reply into it.
type service struct{ handler *Handler }

// Sync serves an exchange of replica digests and soft state.
func (m *service) Sync(c *wire.SyncCall, out *wire.SyncReply) error {
	return answer("Sync", m.handler.Sync, c, out)
}

// Fetch serves a part of a payload.
func (m *service) Fetch(c *wire.FetchCall, out *wire.FetchReply) error {
	return answer("Fetch", m.handler.Fetch, c, out)
}

// Probe serves this host's load.
func (m *service) Probe(c *wire.ProbeCall, out *wire.HostLoad) error {
	return answer("Probe", m.handler.Probe, c, out)
}

// Slot serves a request for a slot to read from the weight store.
func (m *service) Slot(c *wire.SlotCall, out *wire.SlotReply) error {
	return answer("Slot", m.handler.Slot, c, out)
}

// Claim serves a request to record a claim.
func (m *service) Claim(c *wire.ClaimCall, out *wire.ClaimReply) error {
	return answer("Claim", m.handler.Claim, c, out)
}

// Seal serves a request for the state of an attempt, which forbids the attempt if it has
// not arrived yet.
func (m *service) Seal(c *wire.SealCall, out *wire.SealReply) error {
	return answer("Seal", m.handler.Seal, c, out)
}

// Explain serves an operator's request for an explanation.
func (m *service) Explain(c *wire.ExplainCall, out *wire.ExplainReply) error {
	return answer("Explain", m.handler.Explain, c, out)
}

// Demand serves an entry's report of its demand by model.
func (m *service) Demand(c *wire.DemandCall, out *wire.Empty) error {
	return answer("Demand", m.handler.Demand, c, out)
}

// Upstream serves the state of an agent's upstream.
func (m *service) Upstream(c *wire.UpstreamCall, out *wire.UpstreamReply) error {
	return answer("Upstream", m.handler.Upstream, c, out)
}

// Goal serves a new goal for an agent's upstream.
func (m *service) Goal(c *wire.GoalCall, out *wire.GoalReply) error {
	return answer("Goal", m.handler.Goal, c, out)
}

// Adapter serves a request to load an adapter.
func (m *service) Adapter(c *wire.AdapterCall, out *wire.AdapterReply) error {
	return answer("Adapter", m.handler.Adapter, c, out)
}

// Plan serves another entry's report of its demand for models.
func (m *service) Plan(c *wire.PlanCall, out *wire.PlanReply) error {
	return answer("Plan", m.handler.Plan, c, out)
}

// Digest serves another entry's request for the hosts that this entry knows.
func (m *service) Digest(c *wire.DigestCall, out *wire.DigestReply) error {
	return answer("Digest", m.handler.Digest, c, out)
}

// Allow serves another entry's report of the use of customers' allowances and its request
// for further units.
func (m *service) Allow(c *wire.AllowanceCall, out *wire.AllowanceReply) error {
	return answer("Allow", m.handler.Allow, c, out)
}

// Ping answers at once. Clients call it to tell a silent connection from a slow call.
func (m *service) Ping(*wire.Empty, *wire.Empty) error { return nil }

func answer[Q, A any](name string, serve func(*Q) (*A, error), call *Q, out *A) error {
	if serve == nil {
		return &UnsupportedError{Method: name}
	}
	reply, err := serve(call)
	if err != nil {
		return err
	}
	copyReply(out, reply)
	return nil
}

// Server serves the calls of other processes. Its exported fields must be set before
// Listen.
type Server struct {
	Address netip.AddrPort
	// TLS is the configuration of the listener; nil means no TLS. It must require client
	// certificates and accept only those of this system's processes.
	TLS     *tls.Config
	Handler *Handler
	// OnRefused, if set, is called for each client whose TLS handshake failed.
	OnRefused func(caller netip.AddrPort, cause error)

	listener net.Listener
	rpc      *rpc.Server
	traffic  byteCounts
	mu       sync.Mutex
	conns    map[*meteredConn]bool
	serving  sync.WaitGroup
	stopping bool
}

// Listen opens the listener. It is separate from Run so that a second process on the same
// address fails at once.
func (s *Server) Listen() error {
	lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Address))
	if err != nil {
		return err
	}
	s.Address = lis.Addr().(*net.TCPAddr).AddrPort()
	s.listener = lis
	s.conns = map[*meteredConn]bool{}
	s.rpc = rpc.NewServer()
	return s.rpc.RegisterName(serviceName, &service{handler: s.Handler})
}

// handshakeTimeout bounds the TLS handshake, so that clients that do not finish it hold
// no connection.
const handshakeTimeout = 2 * time.Second

// drainTimeout bounds the answering of calls in progress at shutdown.
const drainTimeout = 2 * time.Second

// Run serves until the context ends. It then answers the calls that it has already read,
// within drainTimeout.
func (s *Server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.accept(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	s.stop()
	<-ended
	drain := time.AfterFunc(drainTimeout, s.closeConns)
	defer drain.Stop()
	s.serving.Wait()
	return nil
}

func (s *Server) accept(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		s.serving.Add(1)
		go func() {
			defer s.serving.Done()
			defer conn.Close()
			s.serve(ctx, conn)
		}()
	}
}

// serve answers the calls on one connection until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	if s.TLS != nil {
		tlsConn, err := s.handshake(ctx, conn)
		if err != nil {
			if s.OnRefused != nil && ctx.Err() == nil {
				s.OnRefused(conn.RemoteAddr().(*net.TCPAddr).AddrPort(), err)
			}
			return
		}
		conn = tlsConn
	}
	l := &meteredConn{Conn: conn, traffic: &s.traffic, readTimeout: serverIdleTimeout}
	if !s.track(l) {
		return
	}
	defer s.untrack(l)
	s.rpc.ServeCodec(serverCodec{newCodec(l)})
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, handshakeTimeout)
	defer stop()
	tlsConn := tls.Server(conn, s.TLS)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

// track adds an open connection. It reports false if the server is shutting down.
func (s *Server) track(l *meteredConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.conns[l] = true
	}
	return !s.stopping
}

func (s *Server) untrack(l *meteredConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, l)
}

// stop stops accepting connections and reading calls.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.listener.Close()
	for l := range s.conns {
		l.stopReads()
	}
}

// closeConns closes the connections that are still open after drainTimeout.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.conns {
		l.Close()
	}
}

// Traffic returns the numbers of bytes sent and received since the start.
func (s *Server) Traffic() (sent, received int64) {
	return s.traffic.sent.Load(), s.traffic.received.Load()
}

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

// Handler holds the functions that serve the calls of other processes. A call whose field
// is nil fails with an UnsupportedError.
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
	Room     func(*wire.RoomCall) (*wire.RoomReply, error)
	Trial    func(*wire.TrialCall) (*wire.TrialReply, error)
	Count    func(*wire.CountCall) (*wire.Empty, error)
	Lend     func(*wire.LendCall) (*wire.LendReply, error)
	Plan     func(*wire.PlanCall) (*wire.PlanReply, error)
	Digest   func(*wire.DigestCall) (*wire.DigestReply, error)
	Allow    func(*wire.AllowanceCall) (*wire.AllowanceReply, error)
	Keep     func(*wire.KeepCall) (*wire.Empty, error)
	Find     func(*wire.FindCall) (*wire.FindReply, error)
}

// UnsupportedError is the response to a call that this process's role does not serve.
type UnsupportedError struct{ Method string }

// Error implements error.
func (e *UnsupportedError) Error() string { return "this process does not serve " + e.Method }

// service is the value registered with net/rpc, which calls its methods by name. net/rpc
// allocates the reply, so each method copies the handler's reply into it.
type service struct{ handler *Handler }

// Sync serves an exchange of replica digests and soft state.
func (s *service) Sync(c *wire.SyncCall, out *wire.SyncReply) error {
	return handle("Sync", s.handler.Sync, c, out)
}

// Fetch serves a part of a payload.
func (s *service) Fetch(c *wire.FetchCall, out *wire.FetchReply) error {
	return handle("Fetch", s.handler.Fetch, c, out)
}

// Probe serves a request for this host's load.
func (s *service) Probe(c *wire.ProbeCall, out *wire.HostLoad) error {
	return handle("Probe", s.handler.Probe, c, out)
}

// Slot serves a request for a slot to read from the weight store.
func (s *service) Slot(c *wire.SlotCall, out *wire.SlotReply) error {
	return handle("Slot", s.handler.Slot, c, out)
}

// Claim serves a request to record a claim.
func (s *service) Claim(c *wire.ClaimCall, out *wire.ClaimReply) error {
	return handle("Claim", s.handler.Claim, c, out)
}

// Seal serves a request for the state of an attempt, which forbids the attempt if it has
// not arrived yet.
func (s *service) Seal(c *wire.SealCall, out *wire.SealReply) error {
	return handle("Seal", s.handler.Seal, c, out)
}

// Explain serves an operator's request for an explanation.
func (s *service) Explain(c *wire.ExplainCall, out *wire.ExplainReply) error {
	return handle("Explain", s.handler.Explain, c, out)
}

// Demand serves an entry's report of its demand by model.
func (s *service) Demand(c *wire.DemandCall, out *wire.Empty) error {
	return handle("Demand", s.handler.Demand, c, out)
}

// Upstream serves an entry's poll for the state of this agent's upstream.
func (s *service) Upstream(c *wire.UpstreamCall, out *wire.UpstreamReply) error {
	return handle("Upstream", s.handler.Upstream, c, out)
}

// Goal serves the planner's request to carry out a goal, which names the models that this
// agent's upstream should hold.
func (s *service) Goal(c *wire.GoalCall, out *wire.GoalReply) error {
	return handle("Goal", s.handler.Goal, c, out)
}

// Adapter serves a request to load an adapter.
func (s *service) Adapter(c *wire.AdapterCall, out *wire.AdapterReply) error {
	return handle("Adapter", s.handler.Adapter, c, out)
}

// Room serves a request for a credit for the time of this agent's upstream.
func (s *service) Room(c *wire.RoomCall, out *wire.RoomReply) error {
	return handle("Room", s.handler.Room, c, out)
}

// Count serves another entry's request to be counted.
func (s *service) Count(c *wire.CountCall, out *wire.Empty) error {
	return handle("Count", s.handler.Count, c, out)
}

// Lend serves another entry's request for retries.
func (s *service) Lend(c *wire.LendCall, out *wire.LendReply) error {
	return handle("Lend", s.handler.Lend, c, out)
}

// Trial serves another entry's request for a trial, or its report that one has ended.
func (s *service) Trial(c *wire.TrialCall, out *wire.TrialReply) error {
	return handle("Trial", s.handler.Trial, c, out)
}

// Plan serves another entry's report of its demand for models.
func (s *service) Plan(c *wire.PlanCall, out *wire.PlanReply) error {
	return handle("Plan", s.handler.Plan, c, out)
}

// Digest serves another entry's poll of this relay for the state of the upstream hosts.
func (s *service) Digest(c *wire.DigestCall, out *wire.DigestReply) error {
	return handle("Digest", s.handler.Digest, c, out)
}

// Allow serves another entry's report of the use of customers' allowances and its request
// for further units.
func (s *service) Allow(c *wire.AllowanceCall, out *wire.AllowanceReply) error {
	return handle("Allow", s.handler.Allow, c, out)
}

// Keep serves another entry's records of where streams began.
func (s *service) Keep(c *wire.KeepCall, out *wire.Empty) error {
	return handle("Keep", s.handler.Keep, c, out)
}

// Find serves another entry's question where a stream began.
func (s *service) Find(c *wire.FindCall, out *wire.FindReply) error {
	return handle("Find", s.handler.Find, c, out)
}

// Ping returns at once. Clients call it to distinguish a silent connection from a slow
// call.
func (s *service) Ping(*wire.Empty, *wire.Empty) error { return nil }

func handle[Q, A any](name string, serve func(*Q) (*A, error), call *Q, out *A) error {
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
	// Listener, if set, accepts connections instead of a TCP listener on Address.
	Listener net.Listener

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
	s.listener = s.Listener
	if s.listener == nil {
		lis, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Address))
		if err != nil {
			return err
		}
		s.Address = lis.Addr().(*net.TCPAddr).AddrPort()
		s.listener = lis
	}
	s.conns = map[*meteredConn]bool{}
	s.rpc = rpc.NewServer()
	return s.rpc.RegisterName(serviceName, &service{handler: s.Handler})
}

// handshakeTimeout bounds the TLS handshake, so that clients that do not finish it hold
// no connection.
const handshakeTimeout = 2 * time.Second

// drainTimeout bounds the time at shutdown for calls in progress.
const drainTimeout = 2 * time.Second

// Run serves until the context ends. It then completes the calls that it has already
// read, within drainTimeout.
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

// serve serves the calls on one connection until it ends.
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
	metered := &meteredConn{Conn: conn, traffic: &s.traffic, readTimeout: serverIdleTimeout}
	if !s.track(metered) {
		return
	}
	defer s.untrack(metered)
	s.rpc.ServeCodec(serverCodec{newCodec(metered)})
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, handshakeTimeout)
	defer stop()
	tlsConn := tls.Server(conn, s.TLS)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}

// track adds an open connection. It reports false if the server is shutting down.
func (s *Server) track(c *meteredConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.conns[c] = true
	}
	return !s.stopping
}

func (s *Server) untrack(c *meteredConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// stop stops accepting connections and reading calls.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.listener.Close()
	for c := range s.conns {
		c.stopReads()
	}
}

// closeConns closes the connections that are still open after drainTimeout.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Traffic returns the numbers of bytes sent and received since the start.
func (s *Server) Traffic() (sent, received int64) {
	return s.traffic.sent.Load(), s.traffic.received.Load()
}

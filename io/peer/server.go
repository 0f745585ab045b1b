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

// serviceName is the name under which net/rpc finds the methods.
const serviceName = "Peer"

// Handler answers the calls of other processes. Fields that are nil answer with
// an UnsupportedError.
type Handler struct {
	Sync    func(*wire.SyncCall) (*wire.SyncReply, error)
	Fetch   func(*wire.FetchCall) (*wire.FetchReply, error)
	Probe   func(*wire.ProbeCall) (*wire.HostLoad, error)
	Slot    func(*wire.SlotCall) (*wire.SlotReply, error)
	Claim   func(*wire.ClaimCall) (*wire.ClaimReply, error)
	Seal    func(*wire.SealCall) (*wire.SealReply, error)
	Explain func(*wire.ExplainCall) (*wire.ExplainReply, error)
	Demand  func(*wire.DemandCall) (*wire.Empty, error)

	// Calls on a managed platform.
	Upstream func(*wire.UpstreamCall) (*wire.UpstreamReply, error)
	Goal     func(*wire.GoalCall) (*wire.GoalReply, error)
	Adapter  func(*wire.AdapterCall) (*wire.AdapterReply, error)
	Plan     func(*wire.PlanCall) (*wire.PlanReply, error)
	Digest   func(*wire.DigestCall) (*wire.DigestReply, error)
	Allow    func(*wire.AllowanceCall) (*wire.AllowanceReply, error)
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

// Fetch serves a part of a payload.
func (m *methods) Fetch(c *wire.FetchCall, out *wire.FetchReply) error {
	return answer("Fetch", m.handler.Fetch, c, out)
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

// Upstream serves a question about an agent's upstream.
func (m *methods) Upstream(c *wire.UpstreamCall, out *wire.UpstreamReply) error {
	return answer("Upstream", m.handler.Upstream, c, out)
}

// Goal serves what an agent's upstream should hold.
func (m *methods) Goal(c *wire.GoalCall, out *wire.GoalReply) error {
	return answer("Goal", m.handler.Goal, c, out)
}

// Adapter serves the loading of an adapter.
func (m *methods) Adapter(c *wire.AdapterCall, out *wire.AdapterReply) error {
	return answer("Adapter", m.handler.Adapter, c, out)
}

// Plan serves another entry's demand for models.
func (m *methods) Plan(c *wire.PlanCall, out *wire.PlanReply) error {
	return answer("Plan", m.handler.Plan, c, out)
}

// Digest serves another entry's question for the hosts that this one knows.
func (m *methods) Digest(c *wire.DigestCall, out *wire.DigestReply) error {
	return answer("Digest", m.handler.Digest, c, out)
}

// Allow serves another entry's use of customers' allowances.
func (m *methods) Allow(c *wire.AllowanceCall, out *wire.AllowanceReply) error {
	return answer("Allow", m.handler.Allow, c, out)
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
	// Refused, if set, is told of each caller whose TLS handshake failed.
	Refused func(caller netip.AddrPort, cause error)

	listener net.Listener
	rpc      *rpc.Server
	count    traffic
	mu       sync.Mutex
	conns    map[*link]bool
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
	s.conns = map[*link]bool{}
	s.rpc = rpc.NewServer()
	return s.rpc.RegisterName(serviceName, &methods{handler: s.Handler})
}

// handshakeTime frees connections whose caller does not finish the handshake.
const handshakeTime = 2 * time.Second

// stopTime bounds the answering of calls in progress at a stop.
const stopTime = 2 * time.Second

// Run serves until the context ends; then it answers the calls that it has
// read, for stopTime at most.
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
	cut := time.AfterFunc(stopTime, s.cut)
	defer cut.Stop()
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

// serve answers calls on one connection until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	if s.TLS != nil {
		secured, err := s.handshake(ctx, conn)
		if err != nil {
			if s.Refused != nil && ctx.Err() == nil {
				s.Refused(conn.RemoteAddr().(*net.TCPAddr).AddrPort(), err)
			}
			return
		}
		conn = secured
	}
	l := &link{Conn: conn, count: &s.count, readLimit: quietLimit}
	if !s.keep(l) {
		return
	}
	defer s.drop(l)
	s.rpc.ServeCodec(serverCodec{newCodec(l)})
}

func (s *Server) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, handshakeTime)
	defer stop()
	secured := tls.Server(conn, s.TLS)
	return secured, secured.HandshakeContext(ctx)
}

func (s *Server) keep(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[l] = true
	}
	return !s.closed
}

func (s *Server) drop(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, l)
}

// stop takes no more connections and calls.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.listener.Close()
	for l := range s.conns {
		l.stop()
	}
}

// cut closes what is left at the end of stopTime.
func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.conns {
		l.Close()
	}
}

// Traffic returns the bytes sent and received so far.
func (s *Server) Traffic() (sent, received int64) {
	return s.count.sent.Load(), s.count.received.Load()
}

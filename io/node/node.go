package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/strike"
	"radishwell/io/certs"
	"radishwell/io/config"
	"radishwell/io/events"
	"radishwell/io/httpd"
	"radishwell/io/meter"
	"radishwell/io/peer"
	"radishwell/io/spans"
)

// Clock implements core.Clock with the system clock.
type Clock struct{}

// Now implements core.Clock.
func (Clock) Now() time.Time { return time.Now() }

// Node is one process of the fleet. The exported fields are set before Run.
type Node struct {
	Settings config.Settings
	// Platform is the object API. If it is nil, Run makes a client from the settings.
	Platform core.Platform
	// Ready, if not nil, is called once when the process is ready to serve.
	Ready func()

	clock       core.Clock
	incarnation core.Incarnation
	rand        *rand.Rand
	// peerCerts holds the certificate for connections between processes of the fleet,
	// callers that of the callers' interface. Each is nil if the settings name no files.
	peerCerts    *certs.Reloader
	callers      *certs.Reloader
	meter        *meter.Meter
	tracer       *spans.Tracer
	fleet        *fleetView
	store        *peer.Store
	strikes      func() []strike.Record
	mergeStrikes func([]strike.Record) bool
	members      *members
	client       *peer.Client
	control      *peer.Server
	handler      peer.Handler
	state        state
	components   []*component
	servers      []*httpd.Server
	role         role
}

// role holds the functions that differ between entry and agent.
type role struct {
	// drain lets requests end before a stop and waits until none is in progress or
	// ctx ends.
	drain func(ctx context.Context)
	// ready reports whether the process can serve requests.
	ready func() bool
	// explain answers an operator's question, one sentence a line; nil if the subject
	// or name is unknown.
	explain func(subject, name string) []string
	// routes adds the role's own paths to the operators' interface.
	routes map[string]operatorRoute
}

// Run serves until ctx ends, then stops in order: it announces that it is leaving,
// waits for requests in progress, for at most the settings' StopGrace, and returns nil.
func (n *Node) Run(ctx context.Context) error {
	httpd.Quiet()
	if err := n.prepare(ctx); err != nil {
		return err
	}
	for _, s := range n.servers {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	// The components continue after ctx ends, since requests in progress need them.
	baseCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	list := make([]transport.Server, 0, len(n.servers)+len(n.components))
	for _, c := range n.components {
		c.start(baseCtx)
		list = append(list, c)
	}
	for _, s := range n.servers {
		list = append(list, s)
	}
	app := kratos.New(
		kratos.Name("radishwell-"+string(n.Settings.Role)), kratos.Server(list...), kratos.Context(context.WithoutCancel(ctx)),
		// The command line ends ctx at a signal. Without a list kratos would stop at
		// every signal, including those of Go's scheduler. SIGKILL is never
		// delivered, so kratos handles none.
		kratos.Signal(syscall.SIGKILL), kratos.StopTimeout(n.Settings.Limits.StopGrace),
		kratos.BeforeStop(n.beforeStop), kratos.AfterStop(n.afterStop),
	)
	ended := make(chan error, 1)
	go func() { ended <- app.Run() }()
	go n.announceReady(ctx)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	if err := app.Stop(); err != nil {
		return oops.In("node").Wrapf(err, "stop")
	}
	return <-ended
}

// prepare builds all components and servers of the process.
func (n *Node) prepare(ctx context.Context) error {
	n.clock = Clock{}
	n.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	n.incarnation = core.Incarnation(n.rand.Uint64() | 1)
	n.meter = meter.New()
	s := n.Settings
	n.tracer = &spans.Tracer{Collector: s.Telemetry.OTLP, Ratio: s.Telemetry.SampleRatio, Role: s.Role, Host: s.Name}
	if err := n.tracer.Start(ctx); err != nil {
		return err
	}
	if err := n.loadCerts(); err != nil {
		return err
	}
	events.Log(events.Start, "role", s.Role, "host", s.Name)
	n.members = newMembers(n.clock, rand.New(rand.NewPCG(n.rand.Uint64(), n.rand.Uint64())))
	n.fleet = newFleetView(n.members)
	n.fleet.onReports = n.logCatalogue
	if err := n.prepareStore(); err != nil {
		return err
	}
	build := n.buildAgent
	if s.Role == config.Entry {
		build = n.buildEntry
	}
	if err := build(ctx); err != nil {
		return err
	}
	n.registerGauges()
	n.addServer(&httpd.Server{Address: s.Listen.Operators, Handler: n.operators()})
	return n.prepareControl()
}

func (n *Node) addServer(s *httpd.Server) { n.servers = append(n.servers, s) }

func (n *Node) addComponent(name string, run func(context.Context) error) {
	n.components = append(n.components, &component{name: name, run: run})
}

func (n *Node) loadCerts() error {
	t := n.Settings.TLS
	if t.Cert != "" {
		self := certs.Identity{Role: certs.Role(n.Settings.Role), Host: n.Settings.Name}
		n.peerCerts = &certs.Reloader{Files: certs.Files{CA: t.CA, Cert: t.Cert, Key: t.Key}, Self: self, Clock: n.clock}
		if err := n.peerCerts.Load(); err != nil {
			return oops.In("node").Wrapf(err, "load TLS files")
		}
		n.addComponent("tls", n.peerCerts.Run)
	}
	if t.Callers.Cert != "" {
		n.callers = &certs.Reloader{Files: certs.Files{Cert: t.Callers.Cert, Key: t.Callers.Key}, Clock: n.clock}
		if err := n.callers.Load(); err != nil {
			return oops.In("node").Wrapf(err, "load callers' TLS files")
		}
		n.addComponent("callers-tls", n.callers.Run)
	}
	return nil
}

// tlsTo returns the TLS configuration for connections to a process of the fleet in
// the given role, or nil without TLS.
func (n *Node) tlsTo(role certs.Role, host core.HostName, protocols ...string) *tls.Config {
	if n.peerCerts == nil {
		return nil
	}
	return n.peerCerts.Client(protocols, role, host)
}

// tlsOf returns the TLS configuration of a listener that accepts processes of the
// fleet in the given roles, or nil without TLS.
func (n *Node) tlsOf(protocols []string, roles ...certs.Role) *tls.Config {
	if n.peerCerts == nil {
		return nil
	}
	return n.peerCerts.Server(protocols, roles...)
}

// prepareControl sets up the server for calls from other processes.
func (n *Node) prepareControl() error {
	n.handler.Explain = n.serveExplain
	n.control = &peer.Server{
		Address: n.Settings.Listen.Control, Handler: &n.handler, TLS: n.tlsOf(nil, certs.Entry, certs.Agent, certs.Operator),
	}
	if err := n.control.Listen(); err != nil {
		return oops.In("node").Wrapf(err, "listen for own processes")
	}
	n.addComponent("control", n.control.Run)
	n.addComponent("traffic", n.countTraffic)
	return nil
}

// logCatalogue logs the state of catalogue entries after a change.
func (n *Node) logCatalogue(list []catlog.Report) {
	for _, r := range list {
		event := events.CatalogueInForce
		switch {
		case r.Deleted:
			event = events.CatalogueDeleted
		case r.State == catlog.Rejected:
			event = events.CatalogueRejected
		case r.State == catlog.Pending:
			event = events.CataloguePending
		}
		events.Log(event, "kind", r.Kind, "name", r.Name, "version", r.Version)
	}
}

// readyPollInterval is the time between two checks whether the process is ready, or
// idle.
const readyPollInterval = 5 * time.Millisecond

// announceReady waits until the process is ready, then notifies peers and calls Ready.
func (n *Node) announceReady(ctx context.Context) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !n.role.ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	n.markReady()
	events.Log(events.Ready, "role", n.Settings.Role, "host", n.Settings.Name)
	if n.Ready != nil {
		n.Ready()
	}
}

// drainDelay is how long a stopping entry continues to accept requests after it has
// announced that it is leaving. In that time the platform's load balancer and the
// entries check its state at least once, so that none of them sends requests to a
// process that no longer serves.
const drainDelay = 2 * time.Second

func (n *Node) beforeStop(ctx context.Context) error {
	events.Log(events.StopBegun, "host", n.Settings.Name)
	n.state.leave()
	n.markLeaving()
	ctx, stop := context.WithTimeout(ctx, n.Settings.Limits.StopGrace)
	defer stop()
	n.role.drain(ctx)
	if ctx.Err() != nil {
		events.Log(events.StopCut, "host", n.Settings.Name)
	}
	return nil
}

func (n *Node) afterStop(ctx context.Context) error {
	n.client.Close()
	err := n.tracer.Stop(ctx)
	events.Log(events.StopFinished, "host", n.Settings.Name)
	return err
}

// waitIdle waits until idle reports true or ctx ends.
func waitIdle(ctx context.Context, idle func() bool) {
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !idle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Operators returns the address that the operators' interface listens on. It is needed if
// the settings leave the choice of the port to the operating system.
func (n *Node) Operators() netip.AddrPort { return n.servers[len(n.servers)-1].Address }

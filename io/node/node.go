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

// Clock is the real time.
type Clock struct{}

// Now implements core.Clock.
func (Clock) Now() time.Time { return time.Now() }

// Node is one process. Set the exported fields before Run.
type Node struct {
	Settings config.Settings
	// Platform is the object API; where nil, a client is made of the settings.
	Platform core.Platform
	// Ready, if set, is called once the process serves.
	Ready func()

	clock        core.Clock
	incarnation  core.Incarnation
	rand         *rand.Rand
	keeper       *certs.Reloader
	callers      *certs.Reloader
	meter        *meter.Meter
	tracer       *spans.Tracer
	world        *world
	store        *peer.Store
	strikes      func() []strike.Record
	mergeStrikes func([]strike.Record) bool
	members      *members
	client       *peer.Client
	control      *peer.Server
	handler      peer.Handler
	state        state
	parts        []*part
	servers      []*httpd.Server
	role         role
}

// role is what differs between entry and agent.
type role struct {
	// drain stops the taking of new work and waits until none is in progress.
	drain func(ctx context.Context)
	// ready tells whether the process can do its work.
	ready func() bool
	// explain answers an operator's question.
	explain func(subject, name string) []string
	// routes adds the role's own paths to the operators' interface.
	routes map[string]operatorRoute
}

// Run serves until the context ends, then stops as planned: it takes no new
// work, ends what is in progress, and returns nil.
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
	// The parts outlive the signal to stop: requests in progress need them.
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	list := make([]transport.Server, 0, len(n.servers)+len(n.parts))
	for _, p := range n.parts {
		p.begin(base)
		list = append(list, p)
	}
	for _, s := range n.servers {
		list = append(list, s)
	}
	app := kratos.New(
		kratos.Name("radishwell-"+string(n.Settings.Role)), kratos.Server(list...), kratos.Context(context.WithoutCancel(ctx)),
		// The command line ends ctx at a signal. Without a list kratos would take
		// every signal for one to stop, those of Go's own scheduler among them;
		// SIGKILL is never delivered.
		kratos.Signal(syscall.SIGKILL), kratos.StopTimeout(n.Settings.Limits.StopGrace),
		kratos.BeforeStop(n.beforeStop), kratos.AfterStop(n.afterStop),
	)
	ended := make(chan error, 1)
	go func() { ended <- app.Run() }()
	go n.announce(ctx)
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

// prepare builds everything that needs no connection.
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
	n.world = newWorld(n.members)
	n.world.reports = n.catalogueChanged
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
	n.showCatalogue()
	n.addServer(&httpd.Server{Address: s.Listen.Operators, Handler: n.operators()})
	return n.prepareControl()
}

func (n *Node) addServer(s *httpd.Server) { n.servers = append(n.servers, s) }

func (n *Node) addPart(name string, run func(context.Context) error) {
	n.parts = append(n.parts, &part{name: name, run: run})
}

func (n *Node) loadCerts() error {
	t := n.Settings.TLS
	if t.Cert != "" {
		self := certs.Identity{Role: certs.Role(n.Settings.Role), Host: n.Settings.Name}
		n.keeper = &certs.Reloader{Files: certs.Files{CA: t.CA, Cert: t.Cert, Key: t.Key}, Self: self, Clock: n.clock}
		if err := n.keeper.Load(); err != nil {
			return oops.In("node").Wrapf(err, "load TLS files")
		}
		n.addPart("tls", n.keeper.Run)
	}
	if t.Callers.Cert != "" {
		n.callers = &certs.Reloader{Files: certs.Files{Cert: t.Callers.Cert, Key: t.Callers.Key}, Clock: n.clock}
		if err := n.callers.Load(); err != nil {
			return oops.In("node").Wrapf(err, "load callers' TLS files")
		}
		n.addPart("callers-tls", n.callers.Run)
	}
	return nil
}

// tlsTo returns the configuration towards an own process of a role; nil without
// TLS.
func (n *Node) tlsTo(role certs.Role, host core.HostName, protocols ...string) *tls.Config {
	if n.keeper == nil {
		return nil
	}
	return n.keeper.Client(protocols, role, host)
}

// tlsOf returns the configuration of a listener for own processes of some roles.
func (n *Node) tlsOf(protocols []string, roles ...certs.Role) *tls.Config {
	if n.keeper == nil {
		return nil
	}
	return n.keeper.Server(protocols, roles...)
}

// prepareControl sets up the calls of other processes.
func (n *Node) prepareControl() error {
	n.handler.Explain = n.serveExplain
	n.control = &peer.Server{
		Address: n.Settings.Listen.Control, Handler: &n.handler, TLS: n.tlsOf(nil, certs.Entry, certs.Agent, certs.Operator),
	}
	if err := n.control.Listen(); err != nil {
		return oops.In("node").Wrapf(err, "listen for own processes")
	}
	n.addPart("control", n.control.Run)
	n.addPart("traffic", n.countTraffic)
	return nil
}

// catalogueChanged logs how entries stand after a change.
func (n *Node) catalogueChanged(list []catlog.Report) {
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

// readyPoll is the time between two looks at whether the process is ready.
const readyPoll = 5 * time.Millisecond

// announce tells once that the process is ready.
func (n *Node) announce(ctx context.Context) {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for !n.role.ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	n.started()
	events.Log(events.Ready, "role", n.Settings.Role, "host", n.Settings.Name)
	if n.Ready != nil {
		n.Ready()
	}
}

// steerTime is how long a stopping process goes on taking work after it has
// said that it is leaving: the platform's balancer and the entries look at least
// once in it, so that what they send meets a process that still serves.
const steerTime = 2 * time.Second

func (n *Node) beforeStop(ctx context.Context) error {
	events.Log(events.StopBegun, "host", n.Settings.Name)
	n.state.leave()
	n.leave()
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

// waitIdle waits until a role has nothing in progress.
func waitIdle(ctx context.Context, idle func() bool) {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for !idle() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Operators returns where the operators' interface listens, for settings that
// leave the port open.
func (n *Node) Operators() netip.AddrPort { return n.servers[len(n.servers)-1].Address }

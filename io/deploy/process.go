package deploy

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/io/config"
	"radishwell/io/events"
	"radishwell/io/httpd"
	"radishwell/io/meter"
	"radishwell/io/objapi"
	"radishwell/io/peer"
	plat "radishwell/platform"
)

// memoryShare is the part of the memory limit that the Go runtime keeps to; the
// rest is for stacks, the C library and bytes that wait in sockets.
const memoryShare = 0.7

// Clock is the time since the process started, counted from the time of day at
// its start. It does not follow later steps of the time of day, which would end
// or prolong everything that is counted.
type Clock struct{ start time.Time }

// Now implements core.Clock.
func (c Clock) Now() time.Time { return c.start.Add(time.Since(c.start)) }

// Process is one process of a managed platform. Set the exported fields before
// Run.
type Process struct {
	Settings config.Settings
	// File is where the settings came from, to be read again at SIGHUP.
	File string

	clock   Clock
	meter   *meter.Meter
	store   *plat.Store
	handler peer.Handler
	client  *peer.Client
	parts   []func(context.Context) error
	servers []*httpd.Server
	// leave stops the taking of new work and waits for what is in progress, until
	// a deadline at most.
	leave func(ctx context.Context)
}

// Run serves until the context ends, then stops as planned.
func (p *Process) Run(ctx context.Context) error {
	httpd.Quiet()
	p.prepare()
	events.Log(events.Start, "role", p.Settings.Role, "host", p.Settings.Name, "data-centre", p.Settings.DataCentre)
	if p.Settings.Role == config.Entry {
		p.buildEntry()
	} else {
		p.buildAgent()
	}
	p.serve(&httpd.Server{Address: p.Settings.Listen.Operators, Handler: p.operators()})
	control := &peer.Server{Address: p.Settings.Listen.Control, Handler: &p.handler}
	if err := control.Listen(); err != nil {
		return oops.In("deploy").With("address", control.Address).Wrapf(err, "listen")
	}
	p.parts = append(p.parts, control.Run, p.reload)
	for _, s := range p.servers {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	return p.run(ctx)
}

func (p *Process) prepare() {
	p.clock = Clock{start: time.Now()}
	p.meter = meter.New()
	m := p.Settings.Managed
	runtime.GOMAXPROCS(m.Cores)
	debug.SetMemoryLimit(int64(float64(m.Memory) * memoryShare))
	p.store = &plat.Store{
		Address: p.Settings.Platform.URLs[0].Addr, Client: &http.Client{Transport: objapi.Transport(nil)},
		WatchWaits: map[core.Kind]time.Duration{core.KindEntry: recordWait},
	}
	p.client = &peer.Client{
		OnCall:   p.meter.Peer,
		OnSilent: func(t peer.Target) { events.Log(events.ConnectionSilent, "host", t.Host, "address", t.Address) },
	}
}

// put writes an object whether it is there or not. It is tried as an update first: when
// all processes have been killed, their records are there, and each writes at the same
// moment to a store that takes a few hundred writes a second.
func (p *Process) put(ctx context.Context, o core.Object) (core.Object, error) {
	made, err := p.store.Update(ctx, o)
	var failed *core.PlatformError
	if errors.As(err, &failed) && failed.Fault == core.NotFound {
		return p.store.Create(ctx, o)
	}
	return made, err
}

func (p *Process) serve(s *httpd.Server) { p.servers = append(p.servers, s) }

func (p *Process) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.meter.Handler())
	return mux
}

// run runs the parts until the context ends or one of them fails.
func (p *Process) run(ctx context.Context) error {
	// The parts outlive the signal to stop: requests in progress need them.
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, len(p.parts)+len(p.servers))
	for _, part := range p.parts {
		go func() { ended <- part(base) }()
	}
	for _, s := range p.servers {
		go func() { ended <- s.Start(base) }()
	}
	events.Log(events.Ready)
	select {
	case err := <-ended:
		events.Fail(events.GoroutineFailed, err)
		return oops.In("deploy").Wrapf(err, "a part ended")
	case <-ctx.Done():
	}
	events.Log(events.StopBegun)
	p.stop()
	events.Log(events.StopFinished)
	return nil
}

// stopMargin is how long before the platform ends the process it is done.
const stopMargin = 500 * time.Millisecond

func (p *Process) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.Managed.StopGrace-stopMargin)
	defer cancel()
	if p.leave != nil {
		p.leave(ctx)
	}
}

// reload reads the settings again at SIGHUP. What is fixed at the start of a
// process, such as its addresses, stays as it is; a file that cannot be used is
// reported and changes nothing.
func (p *Process) reload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		settings, err := config.Load(p.File)
		if err != nil {
			events.Fail(events.SettingsInvalid, err, "file", p.File)
			continue
		}
		if err := events.SetVerbosity(settings.Telemetry.Verbosity); err != nil {
			events.Fail(events.SettingsInvalid, err, "file", p.File)
		}
		events.Log(events.SettingsRead, "file", p.File)
	}
}

var _ core.Clock = Clock{}

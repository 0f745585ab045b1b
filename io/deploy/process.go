package deploy

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/io/config"
	"radishwell/io/events"
	"radishwell/io/httpd"
	"radishwell/io/meter"
	"radishwell/io/objapi"
	"radishwell/io/peer"
	"radishwell/io/reply"
	plat "radishwell/platform"
)

// memoryShare is the fraction of the memory setting that is the Go runtime's memory limit.
// The rest is for stacks, the C library and socket buffers.
const memoryShare = 0.7

// Process is one process of a managed platform. Set the exported fields before
// Run.
type Process struct {
	Settings config.Settings
	// File is the settings file, which is reloaded on each signal from Reload.
	File   string
	Reload <-chan os.Signal

	clock   Clock
	meter   *meter.Meter
	store   *plat.Store
	handler peer.Handler
	client  *peer.Client
	parts   []func(context.Context) error
	servers []*httpd.Server
	// drain stops accepting work and waits for the work in progress, until ctx ends.
	drain func(ctx context.Context)
	// onReload, if set, applies the settings that may change while the process runs.
	onReload func(config.Managed)
}

// Run serves until the context ends, then shuts down gracefully. It returns an error if the
// process cannot listen or if a part of it fails.
func (p *Process) Run(ctx context.Context) error {
	httpd.Quiet()
	p.prepare()
	events.Log(events.Start, "role", p.Settings.Role, "host", p.Settings.Name, "data-centre", p.Settings.DataCentre)
	if p.Settings.Role == config.Entry {
		p.buildEntry()
	} else {
		p.buildAgent()
	}
	p.addServer(&httpd.Server{Address: p.Settings.Listen.Operators, Handler: p.operators()})
	control := &peer.Server{Address: p.Settings.Listen.Control, Handler: &p.handler}
	if err := control.Listen(); err != nil {
		return oops.In("deploy").With("address", control.Address).Wrapf(err, "listen")
	}
	p.parts = append(p.parts, control.Run, p.reload, p.clock.run)
	for _, s := range p.servers {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	return p.run(ctx)
}

// prepare sets the limits of the Go runtime and builds what entries and agents have in
// common.
func (p *Process) prepare() {
	p.clock = newClock()
	p.meter = meter.New()
	m := p.Settings.Managed
	runtime.GOMAXPROCS(m.Cores)
	debug.SetMemoryLimit(int64(float64(m.Memory) * memoryShare))
	p.store = &plat.Store{
		Address: p.Settings.Platform.URLs[0].Addr, Client: reply.NewClient(objapi.Transport(nil)),
		WatchWaits: map[core.Kind]time.Duration{core.KindEntry: recordWatchWait},
		OnEra:      func(era uint64) { events.Log(events.StoreRestored, "era", era) },
		OnUnreadable: func(kind core.Kind, err error) {
			events.Fail(events.RegistryEntryUnusable, err, "kind", kind)
		},
	}
	p.client = &peer.Client{
		OnCall:   p.meter.Peer,
		OnSilent: func(t peer.Target) { events.Log(events.ConnectionSilent, "host", t.Host, "address", t.Address) },
	}
}

// createOrUpdate creates or updates an object. It tries an update first: after all processes
// have been killed, their records exist, and all processes write at the same time to a store
// that handles a few hundred writes per second.
func (p *Process) createOrUpdate(ctx context.Context, o core.Object) (core.Object, error) {
	made, err := p.store.Update(ctx, o)
	if isFault(err, core.NotFound) {
		return p.store.Create(ctx, o)
	}
	return made, err
}

// isFault reports whether an error of the store has a fault.
func isFault(err error, fault core.PlatformFault) bool {
	var failed *core.PlatformError
	return errors.As(err, &failed) && failed.Fault == fault
}

// addServer adds a server, which Run starts.
func (p *Process) addServer(s *httpd.Server) { p.servers = append(p.servers, s) }

// operators returns the handler of the operators' address.
func (p *Process) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.meter.Handler())
	return mux
}

// run runs the parts until the context ends or one of them fails.
func (p *Process) run(ctx context.Context) error {
	// The parts keep running after ctx ends, since requests in progress need them.
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

// stopMargin is how long before the end of the platform's grace period the process is to
// have stopped.
const stopMargin = 250 * time.Millisecond

// stop drains the process within the platform's grace period.
func (p *Process) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.Managed.StopGrace-stopMargin)
	defer cancel()
	if p.drain != nil {
		p.drain(ctx)
	}
}

// reload reloads the settings on a signal. The log verbosity takes effect, and what onReload
// applies; addresses and the like are fixed at the start of a process. An invalid file is logged
// and changes nothing.
func (p *Process) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.Reload:
		}
		settings, err := config.Load(p.File)
		if err != nil {
			events.Fail(events.SettingsInvalid, err, "file", p.File)
			continue
		}
		if err := events.SetVerbosity(settings.Telemetry.Verbosity); err != nil {
			events.Fail(events.SettingsInvalid, err, "file", p.File)
		}
		if p.onReload != nil {
			p.onReload(settings.Managed)
		}
		events.Log(events.SettingsRead, "file", p.File)
	}
}

var _ core.Clock = Clock{}

package cmds

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/io/config"
	"radishwell/io/events"
	"radishwell/io/fakes/apisrv"
	"radishwell/io/fakes/llmsrv"
	"radishwell/io/fakes/plain"
	"radishwell/io/fakes/ports"
	"radishwell/io/node"
	"radishwell/io/objapi"
)

// demoCommand runs entries, agents and stand-ins in one process.
type demoCommand struct {
	Listen netip.AddrPort `default:"127.0.0.1:8080" help:"Address for callers; port 0 is any free one."`
	Log    bool           `help:"Write the log events to standard error."`
}

// Sizes and times of the demo's fleet.
const (
	demoEngines     = 2
	demoAccelerator = 16 * core.GiB
	demoKey         = "demo-key"
	demoTokenTime   = 15 * time.Millisecond
	demoAdapterTime = 5 * time.Millisecond
	demoReadyTime   = 20 * time.Second
	demoReadyPoll   = 50 * time.Millisecond
)

var demoLoadTimes = [3]time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second}

const demoCatalogue = `
kind: owners
name: demo
spec:
  keys: [{caller: you, digest: %s}]
---
kind: services
name: engines
spec: {type: engine, class: interactive, checks-fence: true}
---
kind: services
name: ledger
spec: {type: plain, owner: demo, class: interactive, repeatable: safe-methods}
---
kind: models
name: small
spec: {owner: demo, service: engines, class: interactive, memory: 4GiB, limits: {replicas: 2}}
---
kind: models
name: large
spec: {owner: demo, service: engines, class: evening, memory: 12GiB, limits: {replicas: 1}}
---
kind: adapters
name: small-accounts
spec: {owner: demo, base: small, class: interactive, memory: 256MiB, limits: {replicas: 2}}
`

// Run starts the stand-ins and nodes, prints how to call them once they are ready,
// and stops them when ctx ends.
func (c *demoCommand) Run(ctx context.Context, out io.Writer) error {
	if !c.Log {
		events.Discard()
	}
	d := newDemo(ctx)
	err := d.start(c.Listen)
	if err == nil {
		err = d.awaitGrants()
	}
	if err == nil {
		err = printReady(out, d.callers)
	}
	if err == nil {
		<-d.nodes.ctx.Done()
	}
	// The nodes stop first: they need the stand-ins to finish the requests in
	// progress.
	first := d.nodes.stopAndWait()
	if other := d.standins.stopAndWait(); first == nil {
		first = other
	}
	if err != nil && ctx.Err() == nil {
		return err
	}
	return first
}

func printReady(out io.Writer, at netip.AddrPort) error {
	_, err := fmt.Fprintf(out, "radishwell demo is ready at http://%s; stop it with an interrupt\n"+
		"curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"small\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello from the demo\"}]}'\n", at, at, demoKey)
	return err
}

// demo holds the running nodes and stand-ins.
type demo struct {
	nodes    taskGroup
	standins taskGroup
	client   *objapi.Client
	callers  netip.AddrPort
}

func newDemo(ctx context.Context) *demo {
	d := &demo{}
	d.nodes.ctx, d.nodes.stop = context.WithCancel(ctx)
	d.standins.ctx, d.standins.stop = context.WithCancel(context.WithoutCancel(ctx))
	d.nodes.ended, d.standins.ended = make(chan error), make(chan error)
	return d
}

// taskGroup is a set of functions that run in parallel. The first that returns stops
// the rest.
type taskGroup struct {
	ctx     context.Context
	stop    context.CancelFunc
	ended   chan error
	running int
}

func (g *taskGroup) run(part func(context.Context) error) {
	g.running++
	go func() {
		err := part(g.ctx)
		g.stop()
		g.ended <- err
	}()
}

// stopAndWait stops all functions, waits for them and returns the first error.
func (g *taskGroup) stopAndWait() error {
	g.stop()
	var first error
	for range g.running {
		if err := <-g.ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (d *demo) start(callers netip.AddrPort) error {
	list, err := ports.Free(4 + demoEngines*4 + 4)
	if err != nil {
		return err
	}
	next := func() netip.AddrPort {
		p := list[0]
		list = list[1:]
		return p
	}
	platform := next()
	d.client = &objapi.Client{Address: platform}
	entry := demoSettings(config.Entry, "entry-1", platform, next(), next())
	d.callers = callers
	if callers.Port() == 0 {
		d.callers = netip.AddrPortFrom(callers.Addr(), next().Port())
	}
	entry.Listen.Callers = d.callers
	nodes := []config.Settings{entry}
	for i := range demoEngines {
		at := next()
		nodes = append(nodes, demoAgent(fmt.Sprintf("engine-%d", i+1), "engines", core.EngineService, at, platform, next(), next(), next()))
		d.standins.run((&llmsrv.Server{
			Listen: at, Capacity: []core.Bytes{demoAccelerator}, LoadTimes: demoLoadTimes, AdapterTime: demoAdapterTime, TokenTime: demoTokenTime, FirstTime: demoTokenTime, Batch: 16,
		}).Run)
	}
	at := next()
	nodes = append(nodes, demoAgent("ledger-1", "ledger", core.PlainService, at, platform, next(), next(), next()))
	d.standins.run((&plain.Server{Listen: at}).Run)
	objects, err := demoObjects(nodes)
	if err != nil {
		return err
	}
	d.standins.run((&apisrv.Server{Listen: platform, Seed: objects, History: 1000}).Run)
	for _, s := range nodes {
		d.nodes.run((&node.Node{Settings: s}).Run)
	}
	return nil
}

func demoSettings(role config.Role, name string, platform, control, operators netip.AddrPort) config.Settings {
	s := config.Defaults()
	s.Role, s.Name, s.DataCentre = role, core.HostName(name), "demo"
	s.Listen.Control, s.Listen.Operators = control, operators
	s.Platform.URLs = []config.Origin{{Addr: platform}}
	s.Limits.StopGrace = 10 * time.Second
	return s
}

func demoAgent(name string, service core.ServiceName, kind core.ServiceType, upstream, platform, control, operators, work netip.AddrPort) config.Settings {
	s := demoSettings(config.Agent, name, platform, control, operators)
	s.Listen.Work = work
	s.Engine = config.Engine{Address: config.Origin{Addr: upstream}, Type: kind, Service: service}
	return s
}

// demoObjects returns the objects that the platform holds at the start: the
// catalogue and the hosts.
func demoObjects(nodes []config.Settings) ([]core.Object, error) {
	digest := sha256.Sum256([]byte(demoKey))
	objects, problems := catlog.Read(catlog.Source{Name: "demo", Text: fmt.Appendf(nil, demoCatalogue, hex.EncodeToString(digest[:]))})
	if err := problems.Err(); err != nil {
		return nil, oops.Wrap(err)
	}
	for _, s := range nodes {
		spec := core.HostSpec{Role: core.EntryHost, State: core.HostLive, DataCentre: s.DataCentre, Control: s.Listen.Control}
		if s.Role == config.Agent {
			spec.Role, spec.Service, spec.Work = core.UpstreamHost, s.Engine.Service, s.Listen.Work
		}
		if s.Engine.Type == core.EngineService && s.Role == config.Agent {
			spec.Accelerators, spec.Memory = 1, demoAccelerator
		}
		text, err := json.Marshal(spec)
		if err != nil {
			return nil, oops.Wrap(err)
		}
		objects = append(objects, core.Object{Kind: core.KindHost, Name: string(s.Name), Spec: text})
	}
	return objects, nil
}

// demoItems is the number of models and adapters in demoCatalogue.
const demoItems = 3

// awaitGrants waits until every model and adapter has a grant, which allows a host
// to load it.
func (d *demo) awaitGrants() error {
	ctx, stop := context.WithTimeout(d.nodes.ctx, demoReadyTime)
	defer stop()
	for {
		list, err := d.client.List(ctx, core.KindGrant)
		if err == nil && len(list.Objects) >= demoItems {
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.Wrapf(context.Cause(ctx), "wait for the first decisions")
		case <-time.After(demoReadyPoll):
		}
	}
}

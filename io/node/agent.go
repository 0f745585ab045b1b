package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"radishwell/core"
	"radishwell/core/place"
	"radishwell/core/warm"
	"radishwell/io/agent"
	"radishwell/io/certs"
	"radishwell/io/engine"
	"radishwell/io/httpd"
	"radishwell/io/loop"
	"radishwell/wire"
)

// buildAgent builds the agent role.
func (n *Node) buildAgent(ctx context.Context) error {
	s := n.Settings
	upstream := engine.New(s.Engine.Address.Addr, nil)
	upstream.Plain = s.Engine.Type == core.PlainService
	a := &agent.Agent{
		Host: s.Name, Service: s.Engine.Service, Plain: s.Engine.Type == core.PlainService, Incarnation: n.incarnation,
		Engine: upstream, Clock: n.clock, Meter: n.meter, Tracer: n.tracer, Snapshot: n.world.snapshot,
		Grant: n.grant, Release: n.release, Revoked: n.revoked, Spread: n.spread, KeptAnswers: s.Limits.KeptAnswers,
		Slot: n.slot, Agents: func() int { return n.world.agents(s.Engine.Service) }, Worth: warm.DefaultWorth.Scale(s.Warm.Worth),
		Store: agent.Store{Starts: s.Store.Starts, Parallel: s.Store.Parallel, Adapters: s.Store.Adapters},
		Rand:  rand.New(rand.NewPCG(n.rand.Uint64(), n.rand.Uint64())),
	}
	a.Init(context.WithoutCancel(ctx))
	n.handler.Probe = func(c *wire.ProbeCall) (*wire.HostLoad, error) { return a.Load(modelNames(c.GetNames())), nil }
	n.handler.Seal = func(c *wire.SealCall) (*wire.SealReply, error) { return a.Seal(context.Background(), c), nil }
	n.strikes, n.mergeStrikes = a.Strikes, a.MergeStrikes
	n.addPart("agent", a.Run)
	n.world.changed = func(o core.Object) { n.ownHost(a, o) }
	n.addServer(&httpd.Server{
		Address: s.Listen.Work, Handler: a.Handler(), Peers: true, TLS: n.tlsOf([]string{"h2"}, certs.Entry),
	})
	n.role = role{
		ready: func() bool {
			select {
			case <-a.Ready():
				return n.world.snapshot().Revision() > 0
			default:
				return false
			}
		},
		drain: func(ctx context.Context) {
			a.Leave()
			loop.Sleep(ctx, leaveTime)
			waitIdle(ctx, a.Idle)
		},
		explain: func(subject, name string) []string { return n.explainAgent(a, subject, name) },
	}
	return nil
}

// leaveTime is how long an agent goes on answering that it is leaving: the time
// in which its mark crosses the fleet. Each request that meets a closed port
// instead costs its entry a second, and each second here is one in which a
// service with one host has none.
const leaveTime = time.Second

func modelNames(list []string) []core.ModelName {
	out := make([]core.ModelName, len(list))
	for i, name := range list {
		out[i] = core.ModelName(name)
	}
	return out
}

// ownHost leaves when the platform's list says that this host is leaving: the
// list lags, but a host may be reclaimed without a signal to its processes.
func (n *Node) ownHost(a *agent.Agent, o core.Object) {
	if o.Kind != core.KindHost || o.Name != string(n.Settings.Name) {
		return
	}
	var spec core.HostSpec
	if json.Unmarshal(o.Spec, &spec) == nil && !o.Deleted && spec.State == core.HostLeaving {
		n.leave()
		a.Leave()
	}
}

// grant returns this host's grant of an item. It is certain only once the
// platform itself has been read since the start: a peer's copy may be older than
// a release that this process's predecessor made.
func (n *Node) grant(name core.ModelName) (core.GrantState, bool) {
	if !n.store.Confirmed(core.KindGrant) || !n.store.Confirmed(core.KindHost) {
		return "", false
	}
	state, _ := n.world.grantOf(n.Settings.Name, name)
	return state, true
}

// revoked lists items whose grant was taken back, once that is certain.
func (n *Node) revoked() []core.ModelName {
	if !n.store.Confirmed(core.KindGrant) {
		return nil
	}
	return n.world.revokedOf(n.Settings.Name)
}

// release takes this host out of an item's grant.
func (n *Node) release(ctx context.Context, name core.ModelName) error {
	ctx, stop := context.WithTimeout(ctx, writeTime)
	defer stop()
	g, ok := n.world.grant(name)
	h, listed := n.world.host(n.Settings.Name)
	if !ok || !listed {
		return &UnknownHostError{Host: n.Settings.Name}
	}
	spec, ok := place.Release(g.spec, place.HostID{Host: n.Settings.Name, UID: h.uid})
	if !ok {
		return &NotRevokedError{Model: name}
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	o, err := n.Platform.Update(ctx, core.Object{Kind: core.KindGrant, Name: string(name), Version: g.version, Spec: text})
	if err != nil {
		// A lost answer is settled by the watch: it brings the new version, in
		// which this host is no holder, or the old one stays and this is tried
		// again.
		return err
	}
	n.store.Learn(o)
	return nil
}

// NotRevokedError reports a release of a grant that was not taken back.
type NotRevokedError struct{ Model core.ModelName }

// Error implements error.
func (e *NotRevokedError) Error() string {
	return "the grant of " + string(e.Model) + " is not revoked"
}

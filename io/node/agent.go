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
		Engine: upstream, Clock: n.clock, Meter: n.meter, Tracer: n.tracer, Snapshot: n.fleet.snapshot,
		Grant: n.grantState, Release: n.releaseGrant, Revoked: n.revokedGrants, BroadcastStrikes: n.broadcastStrikes, KeptAnswers: s.Limits.KeptAnswers,
		Slot: n.requestSlot, Agents: func() int { return n.fleet.agents(s.Engine.Service) }, Worth: warm.DefaultWorth.Scale(s.Warm.Worth),
		Store: agent.Store{Starts: s.Store.Starts, Parallel: s.Store.Parallel, Adapters: s.Store.Adapters},
		Rand:  rand.New(rand.NewPCG(n.rand.Uint64(), n.rand.Uint64())),
	}
	a.Init(context.WithoutCancel(ctx))
	n.handler.Probe = func(c *wire.ProbeCall) (*wire.HostLoad, error) { return a.HostLoad(modelNames(c.GetNames())), nil }
	n.handler.Seal = func(c *wire.SealCall) (*wire.SealReply, error) { return a.Seal(context.Background(), c), nil }
	n.strikes, n.mergeStrikes = a.Strikes, a.MergeStrikes
	n.addComponent("agent", a.Run)
	n.fleet.onObject = func(o core.Object) { n.observeOwnHost(a, o) }
	n.addServer(&httpd.Server{
		Address: s.Listen.Work, Handler: a.Handler(), Peers: true, TLS: n.tlsOf([]string{"h2"}, certs.Entry),
	})
	n.role = role{
		ready: func() bool {
			select {
			case <-a.Ready():
				return n.fleet.snapshot().Revision() > 0
			default:
				return false
			}
		},
		drain: func(ctx context.Context) {
			a.Leave()
			loop.Sleep(ctx, leaveDelay)
			waitIdle(ctx, a.Idle)
		},
		explain: func(subject, name string) []string { return n.explainAgent(a, subject, name) },
	}
	return nil
}

// leaveDelay is how long a stopping agent keeps its port open and refuses requests
// because it is leaving: the time that its mark takes to reach the fleet. A request that
// meets a closed port instead costs its entry a second; on the other hand, a service with
// one host is unavailable during the delay.
const leaveDelay = time.Second

func modelNames(list []string) []core.ModelName {
	out := make([]core.ModelName, len(list))
	for i, name := range list {
		out[i] = core.ModelName(name)
	}
	return out
}

// observeOwnHost makes the agent leave when the platform lists this host as
// leaving. The list lags, but a host may be reclaimed without a signal to its
// processes.
func (n *Node) observeOwnHost(a *agent.Agent, o core.Object) {
	if o.Kind != core.KindHost || o.Name != string(n.Settings.Name) {
		return
	}
	var spec core.HostSpec
	if json.Unmarshal(o.Spec, &spec) == nil && !o.Deleted && spec.State == core.HostLeaving {
		n.markLeaving()
		a.Leave()
	}
}

// grantState returns the state of this host's grant for an item. It reports false
// until the platform itself has been read since the start: a peer's copy may be
// older than a release that an earlier process of this host made.
func (n *Node) grantState(name core.ModelName) (core.GrantState, bool) {
	if !n.store.Confirmed(core.KindGrant) || !n.store.Confirmed(core.KindHost) {
		return "", false
	}
	state, _ := n.fleet.grantOf(n.Settings.Name, name)
	return state, true
}

// revokedGrants lists the items whose grants to this host are revoked. It returns
// none until grants have been read from the platform itself.
func (n *Node) revokedGrants() []core.ModelName {
	if !n.store.Confirmed(core.KindGrant) {
		return nil
	}
	return n.fleet.revokedOf(n.Settings.Name)
}

// releaseGrant removes this host from an item's grant.
func (n *Node) releaseGrant(ctx context.Context, name core.ModelName) error {
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	g, ok := n.fleet.grant(name)
	h, listed := n.fleet.host(n.Settings.Name)
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
		// If only the response was lost, the watch brings the new version without this
		// host. Otherwise the grant is still revoked and the release is tried again.
		return err
	}
	n.store.Learn(o)
	return nil
}

// NotRevokedError reports the release of a grant that is not revoked.
type NotRevokedError struct{ Model core.ModelName }

// Error implements error.
func (e *NotRevokedError) Error() string {
	return "the grant of " + string(e.Model) + " is not revoked"
}

package deploy

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/io/resume"
)

const (
	// reportWait is how long an agent delays its reply while nothing changes, and so the
	// maximum age of an entry's view of a host.
	reportWait = 500 * time.Millisecond
	// reportTimeout is the timeout of a call to an agent.
	reportTimeout = 1500 * time.Millisecond
	// reportRetryPause is the pause after a failed call.
	reportRetryPause = 250 * time.Millisecond
	// linkInterval is the interval at which the links are reconciled with the registry.
	linkInterval = 200 * time.Millisecond
	// fetchTimeout is the timeout for loading an adapter. A load takes some ten milliseconds
	// from an idle store, and longer while many adapters are being fetched.
	fetchTimeout = 1500 * time.Millisecond
)

// links are the exchanges with all agents that this entry polls.
type links struct {
	entry *entry
	mu    sync.Mutex
	// all has the links by the upstream's address.
	all map[netip.AddrPort]*link
}

// buildLinks creates the links. It is called before any goroutine starts: the planner reads
// the map and starts at the same time as links.run, so creating the map in run is a data
// race.
func (e *entry) buildLinks() { e.links = &links{entry: e, all: map[netip.AddrPort]*link{}} }

// run reconciles the links with the registry until the context ends.
func (l *links) run(ctx context.Context) error {
	for {
		l.reconcile(ctx)
		if !loop.Sleep(ctx, linkInterval) {
			return nil
		}
	}
}

// reconcile starts links to the agents of new hosts, ends those of removed hosts, and notifies
// agents whose upstream has restarted.
func (l *links) reconcile(ctx context.Context) {
	wanted := l.engines()
	for address, e := range wanted {
		if !l.entry.feed.Follows(e.centre) {
			delete(wanted, address)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, k := range l.all {
		if _, ok := wanted[address]; !ok {
			k.stop()
			delete(l.all, address)
		}
	}
	for address, e := range wanted {
		inc := e.incarnation
		k := l.all[address]
		if k == nil {
			own, stop := context.WithCancel(ctx)
			k = &link{address: address, centre: e.centre, stop: stop, used: map[string]bool{}, incarnation: inc}
			l.all[address] = k
			go l.poll(own, k)
		}
		if k.isNewIncarnation(inc) {
			go l.notify(ctx, k)
		}
	}
}

// engine is an upstream of a service with models, as the registry lists it.
type engine struct {
	centre      core.DataCentre
	incarnation fleet.Incarnation
	software    core.SoftwareVersion
}

// engines returns the upstreams of services with models, by address.
func (l *links) engines() map[netip.AddrPort]engine {
	out := map[netip.AddrPort]engine{}
	table := l.entry.proxy.Table()
	if table == nil {
		return out
	}
	l.entry.proxy.Update(func(v *fleet.View, _ time.Time) {
		for _, h := range v.Hosts("") {
			s, newest := table.Services[h.Service], v.Newest(h.Address)
			if _, known := out[h.Address]; !h.Usable || s == nil || !s.HasModels() || known && h.ID != newest.ID {
				continue
			}
			out[h.Address] = engine{centre: h.DataCentre, incarnation: newest, software: h.Software}
		}
	})
	return out
}

// centres returns the data centres of the upstreams of services with models, by address.
func (l *links) centres() map[netip.AddrPort]core.DataCentre {
	out := map[netip.AddrPort]core.DataCentre{}
	for address, e := range l.engines() {
		out[address] = e.centre
	}
	return out
}

// notifyAll sends the name of the planner to all agents that this entry polls, without
// waiting for the next poll. Agents reject the goals of a new planner until they know it.
func (l *links) notifyAll() {
	l.mu.Lock()
	all := slices.Collect(maps.Values(l.all))
	l.mu.Unlock()
	for _, k := range all {
		go l.notify(context.Background(), k)
	}
}

// link returns the link to the agent of an upstream, nil if this entry does not poll it.
func (l *links) link(address netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[address]
}

// agentTarget returns the target of calls to the agent of an upstream, which listens on the
// upstream's IP address.
func (l *links) agentTarget(address netip.AddrPort) peer.Target {
	return peer.Target{Address: netip.AddrPortFrom(address.Addr(), uint16(l.entry.Settings.Managed.AgentPort))}
}

// agents returns the agents of the upstreams of services with models, apart from those in a data
// centre where an entry orders upstreams in place of agents: it is not known which of them have one.
func (l *links) agents() []resume.Agent {
	var out []resume.Agent
	for address, e := range l.engines() {
		if _, ok := l.entry.members.ordererOf(e.centre); ok && !l.agentResponded(address) {
			continue
		}
		to := l.agentTarget(address)
		to.Host = core.HostName(to.Address.String())
		out = append(out, resume.Agent{Target: to, Software: e.software})
	}
	return out
}

// target returns the target of calls to the agent of an upstream. If this entry has not had
// a response from that agent, and an entry orders upstreams of the data centre, the target is
// that entry, and upstream is the encoded address that identifies the upstream in the call.
// Otherwise upstream is nil.
func (l *links) target(address netip.AddrPort, dc core.DataCentre) (to peer.Target, upstream []byte) {
	agent := l.agentTarget(address)
	if k := l.link(address); k != nil {
		k.mu.Lock()
		direct := k.agentResponded || k.tryAgent
		k.mu.Unlock()
		if direct {
			return agent, nil
		}
	}
	orderer, ok := l.entry.members.ordererOf(dc)
	if !ok {
		return agent, nil
	}
	upstream, err := address.MarshalBinary()
	if err != nil {
		events.Fail(events.DecisionFailed, err, "address", address)
		return agent, nil
	}
	return orderer, upstream
}

// agentResponded reports whether the agent of an upstream has responded to a poll of this
// entry since the entry began to poll it.
func (l *links) agentResponded(address netip.AddrPort) bool {
	k := l.link(address)
	if k == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.agentResponded
}

// active returns the links whose agents reported within reportTimeout.
func (l *links) active(now time.Time) []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*link
	for _, k := range l.all {
		k.mu.Lock()
		if !k.lastReport.IsZero() && now.Sub(k.lastReport) < reportTimeout {
			out = append(out, k)
		}
		k.mu.Unlock()
	}
	return out
}

package deploy

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/peer"
	plat "radishwell/platform"
)

// protocol is how the platform's callers and upstreams name things.
var protocol core.Protocol = plat.Headers{}

// storeRetry bounds the pause after a failed read of the store: a store that is
// back is read again within it, and each try costs a call.
const storeRetry = 500 * time.Millisecond

// prepareState sets up the replicas of the routing table and the registry. They
// are fed by the store and by other entries: one that starts while the store is
// out, or that the store alone turns away, has them from its peers.
func (e *entry) prepareState() {
	s := e.Settings
	kinds := []core.Kind{core.KindTable, core.KindRegistry}
	e.state = &peer.Store{
		Self: peer.Target{Host: s.Name, Address: s.Listen.Control},
		// Both are listed at once, without the wait for a first exchange with peers:
		// after all have been killed, none of these answers.
		Kinds: kinds, Confirm: kinds, Platform: e.store, Client: e.client, Clock: e.clock,
		Peers: e.peers.list, Seed: rand.Uint64(), MaxRetry: storeRetry,
		Changed: e.changed, Reached: e.platformBack, Failed: e.stateFailed,
	}
	e.handler.Sync = e.state.Serve
	e.parts = append(e.parts, e.state.Run)
}

// changed takes in objects whose replicas changed.
func (e *entry) changed(objects []core.Object) {
	for _, o := range objects {
		if o.Kind == core.KindTable {
			e.takeTable(o)
		}
	}
	e.proxy.Update(func(v *fleet.View, now time.Time) {
		for _, o := range objects {
			switch {
			case o.Kind != core.KindRegistry:
			case o.Deleted:
				v.Remove(now, core.HostName(o.Name))
			default:
				v.Apply(readHost(o))
			}
		}
	})
}

func (e *entry) takeTable(o core.Object) {
	if o.Name != plat.MainTable || o.Deleted {
		return
	}
	table, err := plat.Table(o.Spec)
	if err != nil {
		events.Fail(events.TableRejected, err, "revision", o.Version)
		return
	}
	e.proxy.Offer(table)
}

func readHost(o core.Object) fleet.Entry {
	host, err := plat.Host(o.Name, o.Spec)
	if err != nil {
		events.Fail(events.RegistryEntryUnusable, err, "name", o.Name, "revision", o.Version)
	}
	host.Revision = uint64(o.Version)
	return host
}

// stateFailed notes a failed read of the store or of a peer.
func (e *entry) stateFailed(err error) {
	var failed *core.PlatformError
	switch {
	case !errors.As(err, &failed):
		events.Fail(events.PeerUnreachable, err)
	case failed.Fault == core.Gone:
		events.Log(events.WatchRestarted, "kind", failed.Kind, "cause", "history dropped")
	default:
		if e.storeLost.CompareAndSwap(false, true) {
			events.Fail(events.PlatformUnreachable, err)
		}
		e.proxy.Update(func(v *fleet.View, now time.Time) { v.Troubled(now) })
	}
}

func (e *entry) platformBack() {
	if e.storeLost.CompareAndSwap(true, false) {
		events.Log(events.PlatformBack)
	}
}

// peers are the other entries: those of the settings, and those that agents
// name.
type peers struct {
	seeds []netip.AddrPort
	mu    sync.Mutex
	named map[netip.AddrPort]core.HostName
	// heard is when an agent last named an entry.
	heard map[netip.AddrPort]time.Time
	clock core.Clock
}

// peerAge is how long an entry counts as there after an agent named it.
const peerAge = 10 * time.Second

func (p *peers) add(name core.HostName, control netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.named == nil {
		p.named, p.heard = map[netip.AddrPort]core.HostName{}, map[netip.AddrPort]time.Time{}
	}
	p.named[control], p.heard[control] = name, p.clock.Now()
}

// count returns the number of entries, this one included; zero while no agent has
// named any.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.named) == 0 {
		return 0
	}
	return len(p.named) + 1
}

// list returns the other entries as peers to exchange state with.
func (p *peers) list() []peer.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []peer.Target
	for control, name := range p.named {
		if now.Sub(p.heard[control]) > peerAge {
			delete(p.named, control)
			delete(p.heard, control)
			continue
		}
		out = append(out, peer.Target{Host: name, Address: control})
	}
	for _, at := range p.seeds {
		if _, named := p.named[at]; !named {
			// Its name is not known before an agent tells it; the address tells
			// entries apart as well.
			out = append(out, peer.Target{Host: core.HostName(at.String()), Address: at})
		}
	}
	return out
}

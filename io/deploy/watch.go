package deploy

import (
	"errors"
	"math/rand/v2"
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

// watchers is how many entries watch each kind: enough that some reach the store while
// it turns a third of them away, few enough that the calls do not grow with the fleet.
const watchers = 8

// prepareState sets up the replicas of the routing table, the registry and the entries'
// records. They
// are fed by the store and by other entries: one that starts while the store is
// out, or that the store alone turns away, has them from its peers.
func (e *entry) prepareState() {
	s := e.Settings
	kinds := []core.Kind{core.KindTable, core.KindRegistry, core.KindEntry}
	e.state = &peer.Store{
		Self: peer.Target{Host: s.Name, Address: s.Listen.Control},
		// All are listed at once, without the wait for a first exchange with peers:
		// after all have been killed, none of these answers.
		Kinds: kinds, Confirm: kinds, Platform: e.store, Client: e.client, Clock: e.clock,
		Peers: e.members.peers, Near: e.members.isNear, Watchers: watchers, Seed: rand.Uint64(), MaxRetry: storeRetry,
		Changed: e.changed, Reached: e.platformBack, Failed: e.stateFailed,
	}
	e.handler.Sync = e.state.Serve
	e.parts = append(e.parts, e.state.Run)
}

// changed takes in objects whose replicas changed.
func (e *entry) changed(objects []core.Object) {
	for _, o := range objects {
		switch o.Kind {
		case core.KindTable:
			e.takeTable(o)
		case core.KindEntry:
			e.members.take(o)
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
	e.feed.Listed()
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

package deploy

import (
	"errors"
	"math/rand/v2"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/peer"
	"radishwell/io/stale"
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
		OnChange: e.changed, OnAnswer: e.platformBack, OnError: e.stateFailed,
	}
	stale.Export(e.meter, e.state)
	e.handler.Sync, e.handler.Fetch = e.state.ServeSync, e.state.ServeFetch
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
			if o.Kind == core.KindRegistry {
				takeHost(v, now, o)
			}
		}
	})
	e.feed.RegistryChanged()
}

// takeHost applies a registry entry, and logs one after which its host gets no new work.
func takeHost(v *fleet.View, now time.Time, o core.Object) {
	id := core.HostName(o.Name)
	known := v.Host(id)
	open := known != nil && !known.IsLeaving(now)
	if o.Deleted {
		v.Remove(now, id)
	} else {
		v.Apply(readHost(o))
	}
	if !open {
		return
	}
	switch left := v.Host(id); {
	case left == nil:
		events.Log(events.HostGone, "host", id, "revision", o.Version)
	case o.Deleted:
		events.Log(events.HostLapsed, "host", id, "revision", o.Version)
	case left.IsLeaving(now):
		events.Log(events.HostLeaving, "host", id, "revision", o.Version)
	}
}

func (e *entry) takeTable(o core.Object) {
	if o.Name != plat.MainTable || o.Deleted {
		return
	}
	began := e.clock.Now()
	table, err := plat.Table(o.Spec)
	events.Log(events.TableDecoded, "revision", o.Version, "bytes", len(o.Spec), "took", e.clock.Now().Sub(began))
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
		stale.LogFailure(err)
	case failed.Fault == core.Gone:
		events.Log(events.WatchRestarted, "kind", failed.Kind, "cause", "history dropped")
	default:
		if e.storeLost.CompareAndSwap(false, true) {
			events.Fail(events.PlatformUnreachable, err)
		}
		if e.storeOut() {
			e.proxy.Update(func(v *fleet.View, now time.Time) { v.Troubled(now) })
		}
	}
}

// wordAge is the age of the store's last answer to any entry from which on a failed read
// counts as an outage.
const wordAge = 2 * time.Second

// storeOut reports whether the store may be out for upstreams too. A single entry's reads also
// fail for local reasons, such as a full link, and the registry stays reliable then.
func (e *entry) storeOut() bool {
	age := stale.Age(e.state, core.KindRegistry)
	return age < 0 || age > wordAge
}

func (e *entry) platformBack() {
	if e.storeLost.CompareAndSwap(true, false) {
		events.Log(events.PlatformBack)
	}
}

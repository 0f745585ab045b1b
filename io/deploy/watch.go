package deploy

import (
	"errors"
	"math/rand/v2"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/io/stale"
	plat "radishwell/platform"
)

// protocol encodes and decodes the header fields of the platform's callers and upstreams.
var protocol core.Protocol = plat.Headers{}

// maxStoreRetry is the maximum pause after a failed read of the store. A shorter one detects
// the store's recovery sooner, but costs more calls.
const maxStoreRetry = 500 * time.Millisecond

// watchers is the number of entries that watch each kind. It is large enough that some
// reach the store while it rejects a third of the calls, and fixed, so that the number of
// calls does not grow with the fleet.
const watchers = 8

// buildState sets up the replicas of the routing table, the registry and the entries'
// records. They receive updates from the store and from other entries. An entry that starts
// during an outage of the store, or whose calls the store rejects, gets them from its peers.
func (e *entry) buildState() {
	s := e.Settings
	kinds := []core.Kind{core.KindTable, core.KindRegistry, core.KindEntry}
	e.state = &peer.Store{
		Self: peer.Target{Host: s.Name, Address: s.Listen.Control},
		// All kinds are listed from the store at once, without waiting for a first exchange
		// with peers: after all processes have been killed, no peer responds.
		Kinds: kinds, Confirm: kinds, Urgent: []core.Kind{core.KindTable}, Platform: e.store, Client: e.client, Clock: e.clock,
		Peers: e.members.peers, Near: e.members.isNear, Watchers: watchers, Seed: rand.Uint64(), MaxRetry: maxStoreRetry,
		FallbackDelay: s.Managed.ApplyTime,
		OnChange:      e.applyChanges, OnReceived: e.storeReached, OnError: e.readFailed, OnOlderList: logOlderList,
	}
	stale.Export(e.meter, e.state)
	e.handler.Sync, e.handler.Fetch = e.state.ServeSync, e.state.ServeFetch
	e.parts = append(e.parts, e.state.Run)
}

// applyChanges applies objects that changed in the replicas.
func (e *entry) applyChanges(objects []core.Object) {
	for _, o := range objects {
		switch o.Kind {
		case core.KindTable:
			e.applyTable(o)
		case core.KindEntry:
			e.members.apply(o)
			if core.HostName(o.Name) == e.Settings.Name && !e.members.isListed(e.ownRecord()) {
				loop.Wake(e.recordChanged) // a restore of the store may have undone it
			}
		}
	}
	if e.applyRegistry(objects) {
		e.wakeQuarantine()
		loop.Wake(e.software.wake)
	}
	e.feed.RegistryChanged()
}

// applyRegistry applies the registry entries among objects, and reports whether the store has
// been restored from a copy since the last time. They are then all of a later era.
func (e *entry) applyRegistry(objects []core.Object) (restored bool) {
	e.proxy.Update(func(v *fleet.View, now time.Time) {
		for _, o := range objects {
			if o.Kind != core.KindRegistry {
				continue
			}
			if era := o.Version.Era(); era > v.Era() {
				restored = true
				v.NoteRestore(now, era)
			}
			applyHost(v, now, o)
		}
	})
	return restored
}

// applyHost applies a registry entry. It logs a change after which the host receives no new
// requests.
func applyHost(v *fleet.View, now time.Time, o core.Object) {
	id := core.HostName(o.Name)
	known := v.Host(id)
	inUse := known != nil && !known.IsLeaving(now)
	if o.Deleted {
		v.Remove(now, id)
	} else {
		v.Apply(decodeHost(o))
	}
	if !inUse {
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

// applyTable applies a routing table. An invalid one is logged and changes nothing.
func (e *entry) applyTable(o core.Object) {
	if o.Name != plat.MainTable || o.Deleted {
		return
	}
	began := e.clock.Now()
	table, err := e.tables.Decode(o.Spec)
	pairs := []any{"revision", o.Version, "bytes", len(o.Spec), "took", e.clock.Now().Sub(began)}
	if err != nil {
		events.Log(events.TableDecoded, pairs...)
		events.Fail(events.TableRejected, err, "revision", o.Version)
		return
	}
	events.Log(events.TableDecoded, append(pairs, "version", table.Version)...)
	e.proxy.Offer(table)
}

// decodeHost decodes a registry entry. An invalid one is logged and is not Usable.
func decodeHost(o core.Object) fleet.Entry {
	host, err := plat.DecodeHost(o.Name, o.Spec)
	if err != nil {
		events.Fail(events.RegistryEntryUnusable, err, "name", o.Name, "revision", o.Version)
	}
	host.Revision = uint64(o.Version)
	return host
}

// readFailed handles a failed read of the store or of a peer.
func (e *entry) readFailed(err error) {
	var failed *core.PlatformError
	switch {
	case !errors.As(err, &failed):
		stale.LogFailure(err)
	case failed.Fault == core.Gone:
		events.Log(events.WatchRestarted, "kind", failed.Kind, "cause", "history dropped")
	default:
		if e.storeFailed.CompareAndSwap(false, true) {
			events.Fail(events.PlatformUnreachable, err)
		}
		if e.storeOut() {
			e.proxy.Update(func(v *fleet.View, now time.Time) { v.NoteStoreFailure(now) })
		}
	}
}

// storeEra returns how often the store has been restored from a copy, as far as this entry
// knows from the store or from other entries.
func (e *entry) storeEra() uint64 {
	return max(e.store.Era(), e.state.Status(core.KindRegistry).Through.Era())
}

// logOlderList logs a list of the store that is older than the replica.
func logOlderList(kind core.Kind, listed, held core.Version) {
	events.Log(events.ListOlder, "kind", kind, "listed", listed, "held", held)
}

// outageAge is the age of the store's last response to any entry above which a failed read
// counts as an outage.
const outageAge = 2 * time.Second

// storeOut reports whether the store may be out for upstreams as well. The reads of a single
// entry may also fail for local reasons, such as a saturated link. The registry is reliable
// then.
func (e *entry) storeOut() bool {
	return stale.IsOlder(e.state, core.KindRegistry, outageAge)
}

// storeReached logs that the store responds again after a failed read.
func (e *entry) storeReached() {
	if e.storeFailed.CompareAndSwap(true, false) {
		events.Log(events.PlatformBack)
	}
}

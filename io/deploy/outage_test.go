package deploy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/peer"
	"radishwell/io/proxy"
	"radishwell/wire"
)

// afterFailedRead returns the host that an entry still uses after a failed read of the store
// and the deletion of the host's registry entry, nil if it uses none. If reported is set,
// another entry has just reported a response of the store.
func afterFailedRead(t *testing.T, reported bool) *fleet.Host {
	t.Helper()
	clock := newClock()
	e := &entry{
		Process: &Process{clock: clock}, proxy: &proxy.Proxy{Clock: clock},
		state: &peer.Store{Kinds: []core.Kind{core.KindRegistry}, Clock: clock},
	}
	e.proxy.Start()
	if reported {
		_, err := e.state.ServeSync(&wire.SyncCall{Through: []*wire.Through{{Kind: string(core.KindRegistry)}}})
		assert.NilError(t, err)
	}
	host := core.Object{
		Kind: core.KindRegistry, Name: "i-1", Version: 1,
		Spec: []byte(`{"service":"plain","address":"127.1.0.1:80","zone":"dc-1","slots":6,"state":"ready","sequence":0}`),
	}
	gone := core.Object{Kind: core.KindRegistry, Name: "i-1", Version: 2, Deleted: true}
	var left *fleet.Host
	e.proxy.Update(func(v *fleet.View, now time.Time) { applyHost(v, now, host) })
	e.readFailed(&core.PlatformError{Fault: core.Unknown})
	e.proxy.Update(func(v *fleet.View, now time.Time) {
		applyHost(v, now, gone)
		left = v.Host("i-1")
	})
	return left
}

// Guards against taking a single entry's failed read for an outage of the store, which makes
// the entry send requests to a host that has been removed.
func TestOwnFailedReadIsNoOutage(t *testing.T) {
	t.Run("other entries reach the store", func(t *testing.T) { assert.Assert(t, afterFailedRead(t, true) == nil) })
	t.Run("no entry reaches the store", func(t *testing.T) { assert.Assert(t, afterFailedRead(t, false) != nil) })
}

// Guards against taking entries that a restored store lacks for hosts that were removed.
func TestEntryLostInRestoreIsNoRemoval(t *testing.T) {
	clock := newClock()
	e := &entry{Process: &Process{clock: clock}, proxy: &proxy.Proxy{Clock: clock}}
	e.proxy.Start()
	host := core.Object{
		Kind: core.KindRegistry, Name: "i-1", Version: core.VersionOf(0, 7),
		Spec: []byte(`{"service":"plain","address":"127.1.0.1:80","zone":"dc-1","slots":6,"state":"ready","sequence":0}`),
	}
	e.applyRegistry([]core.Object{host})
	e.applyRegistry([]core.Object{{Kind: core.KindRegistry, Name: "i-1", Version: core.VersionOf(1, 3), Deleted: true}})
	e.proxy.Update(func(v *fleet.View, _ time.Time) { assert.Assert(t, v.Host("i-1") != nil) })
}

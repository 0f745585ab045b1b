package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// besides returns another entry at the address of an entry, which the registry took later.
func besides(e fleet.Entry, id core.HostName, service core.ServiceName) fleet.Entry {
	e.ID, e.Service = id, service
	e.Born++
	e.Revision++
	return e
}

// Guards against entries of services that no routing table names, which took the hosts at their addresses
// out of service.
func TestEntryOfUnservedServiceSupersedesNoHost(t *testing.T) {
	for name, service := range map[string]core.ServiceName{"unknown service": "other", "empty service": ""} {
		t.Run(name, func(t *testing.T) {
			host := entry("i-1", "m")
			for _, order := range [][]fleet.Entry{{host, besides(host, "odd", service)}, {besides(host, "odd", service), host}} {
				v := view(order...)
				v.SetServices([]core.ServiceName{"llm"})
				wantPick(t, v, t0, "i-1")
				assert.Equal(t, v.Newest(host.Address).ID, core.HostName("i-1"))
				assert.Assert(t, !v.Host("i-1").HasEnded())
			}
		})
	}
	t.Run("added after the routing table", func(t *testing.T) {
		host := entry("i-1", "m")
		v := view(host)
		v.SetServices([]core.ServiceName{"llm"})
		v.Apply(besides(host, "odd", "other"))
		wantPick(t, v, t0, "i-1")
	})
	t.Run("as long as no routing table names its service", func(t *testing.T) {
		host := entry("i-1", "m")
		v := view(host, besides(host, "i-2", "other"))
		for range 2 {
			v.SetServices([]core.ServiceName{"llm"})
			assert.Equal(t, v.Newest(host.Address).ID, core.HostName("i-1"))
			v.SetServices([]core.ServiceName{"llm", "other"})
			assert.Equal(t, v.Newest(host.Address).ID, core.HostName("i-2"))
		}
	})
	t.Run("a restart supersedes still", func(t *testing.T) {
		host := entry("i-1", "m")
		v := view(host, besides(host, "odd", "other"))
		v.SetServices([]core.ServiceName{"llm"})
		v.Apply(besides(host, "i-2", "llm"))
		wantPick(t, v, t0, "i-2")
	})
}

// Guards against retries that are released since an entry of another writer stands at the address of a host
// that may stand still.
func TestEntryOfUnservedServiceIsNoSignOfEnd(t *testing.T) {
	host := entry("i-1", "m")
	v := view(host, besides(host, "odd", "other"))
	v.SetServices([]core.ServiceName{"llm"})
	assert.Equal(t, v.SignSince(fleet.Incarnation{ID: "i-1"}, host.Address, t0), fleet.NoSign)
	v.Remove(t0.Add(time.Hour), "i-1")
	assert.Equal(t, v.SignSince(fleet.Incarnation{ID: "i-1"}, host.Address, t0), fleet.NoSign)
}

// Guards against a sound host that gets no request since a later entry of another writer stands at its address.
func TestHostIsUsedOnceAnotherEntryIsDenied(t *testing.T) {
	host := entry("i-1", "m")
	odd := besides(host, "odd", "llm")
	inc := func(id core.HostName) fleet.Incarnation { return fleet.Incarnation{ID: id, Born: host.Born + 1} }
	t.Run("by the host", func(t *testing.T) {
		v := view(host, odd)
		wantPick(t, v, t0, "odd")
		v.NoteDenied(inc("odd"), t0)
		wantPick(t, v, t0, "i-1")
		assert.Equal(t, v.Newest(host.Address).ID, core.HostName("i-1"))
		v.Apply(odd)
		wantPick(t, v, t0, "i-1")
	})
	t.Run("the next incarnation supersedes both", func(t *testing.T) {
		v := view(host, odd)
		v.NoteDenied(inc("odd"), t0)
		next := besides(odd, "i-2", "llm")
		v.Apply(next)
		wantPick(t, v, t0, "i-2")
		v.Remove(t0, "i-1")
		wantPick(t, v, t0, "i-2")
	})
	t.Run("the one that was denied first, if all were", func(t *testing.T) {
		v := view(host, odd)
		v.NoteDenied(inc("odd"), t0)
		v.NoteDenied(fleet.Incarnation{ID: "i-1"}, after(1))
		wantPick(t, v, after(1), "odd")
	})
	t.Run("another run of the same ID was not denied", func(t *testing.T) {
		v := view(host, odd)
		v.NoteDenied(inc("odd"), t0)
		v.Apply(besides(odd, "odd", "llm"))
		wantPick(t, v, t0, "odd")
	})
	t.Run("an entry that was leaving from the first is a guess less likely", func(t *testing.T) {
		leaving := odd
		leaving.Leaving = true
		wantPick(t, view(host, leaving), t0, "i-1")
	})
}

// Guards against a host that gets no request since an entry of another writer at its address is of another service.
func TestEntryOfAnotherServiceSupersedesNoHost(t *testing.T) {
	host := entry("i-1", "m")
	v := view(host, besides(host, "odd", "other"))
	wantPick(t, v, t0, "i-1")
	assert.Equal(t, v.Pick(t0, &fleet.Query{Service: "other"}).Host.ID, core.HostName("odd"))
	v.NoteDenied(fleet.Incarnation{ID: "odd", Born: host.Born + 1}, t0)
	wantPick(t, v, t0, "i-1")
	assert.Assert(t, v.Pick(t0, &fleet.Query{Service: "other"}).Host == nil)
	t.Run("unless the host says that it is not its", func(t *testing.T) {
		v := view(host, besides(host, "odd", "other"))
		v.NoteDenied(fleet.Incarnation{ID: "i-1"}, t0)
		wantPick(t, v, t0, "")
	})
}

// Guards against questions to hosts that nothing would follow from, and against many at once.
func TestIdentityIsAskedForOnceASecond(t *testing.T) {
	host := entry("i-1", "m")
	inc := fleet.Incarnation{ID: "i-1"}
	v := view(host)
	assert.Assert(t, !v.StartIdentityCheck(inc, t0), "no other entry at the address")
	v.Apply(besides(host, "odd", "llm"))
	assert.Assert(t, v.StartIdentityCheck(inc, t0))
	assert.Assert(t, !v.StartIdentityCheck(inc, after(999*time.Millisecond)))
	assert.Assert(t, v.StartIdentityCheck(inc, after(time.Second)))
	assert.Assert(t, !v.StartIdentityCheck(fleet.Incarnation{ID: "i-1", Born: 7}, after(time.Hour)), "of another run")
}

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
			wantPick(t, v, t0, "i-1")
			v.SetServices([]core.ServiceName{"llm", "other"})
			wantPick(t, v, t0, "")
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
	assert.Equal(t, v.SignSince(fleet.Incarnation{ID: host.ID}, host.Address, t0), fleet.NoSign)
	v.Remove(t0.Add(time.Hour), "i-1")
	assert.Equal(t, v.SignSince(fleet.Incarnation{ID: host.ID}, host.Address, t0), fleet.NoSign)
}

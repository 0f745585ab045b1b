package copies_test

import (
	"testing"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
)

// Guards against streams that cannot go on when their host crashes, since each software version
// has one copy of the model: the second copy went to any host.
func TestCopiesArePairedByVersion(t *testing.T) {
	versioned := func(h *copies.Host, v core.SoftwareVersion) *copies.Host {
		h.Software = v
		return h
	}
	demand := map[core.ModelName]copies.Demand{name(0): {Rate: 5, Hasty: 3, Work: 0.9}}
	t.Run("a host of the version of the only copy is chosen", func(t *testing.T) {
		p := &copies.Planner{Parallel: 1}
		hosts := []*copies.Host{versioned(host("a", names(0)), "v2"), versioned(host("b", nil), "v1"), versioned(host("c", nil), "v2")}
		wantMoves(t, p.Plan(t0, service(1), hosts, demand), "c: m-00 for []")
	})
	t.Run("not where another host has the weights near", func(t *testing.T) {
		p := &copies.Planner{Parallel: 1}
		hosts := []*copies.Host{versioned(host("a", names(0)), "v2"), versioned(host("b", nil, name(0)), "v1"), versioned(host("c", nil), "v2")}
		wantMoves(t, p.Plan(t0, service(1), hosts, demand), "b: m-00 for []")
	})
}

// Guards against a model that is not loaded on any host of the software version at which callers
// continue streams, since it has copies at other versions.
func TestContinuedStreamsGetACopyAtTheirVersion(t *testing.T) {
	hosts := func(hosts ...*copies.Host) []*copies.Host {
		for i, v := range []core.SoftwareVersion{"v1", "v2", "v2"} {
			hosts[i].Software = v
		}
		return hosts
	}
	demand := map[core.ModelName]copies.Demand{name(0): {Rate: 0.5, Waiting: 2, Continuing: []core.SoftwareVersion{"v2"}}}
	t.Run("where the weights are nearest", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		got := p.Plan(t0, service(1), hosts(host("a", names(0)), host("b", nil), host("c", nil, name(0))), demand)
		wantMoves(t, got[:1], "c: m-00 for []")
	})
	t.Run("once", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		loading := host("b", nil)
		loading.TakesOrders, loading.Loading, loading.LoadedBy = false, name(0), t0.Add(time.Second)
		wantMoves(t, p.Plan(t0, service(1), hosts(host("a", names(0)), loading, host("c", nil)), map[core.ModelName]copies.Demand{
			name(0): {Rate: 0.001, Waiting: 2, Continuing: []core.SoftwareVersion{"v2"}},
		}))
	})
	t.Run("not on a host of another version", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		away := []*copies.Host{host("a", names(0)), host("b", nil, name(0))}
		away[0].Software, away[1].Software = "v1", "v1"
		wantMoves(t, p.Plan(t0, service(1), away, map[core.ModelName]copies.Demand{
			name(0): {Rate: 0.001, Waiting: 1, Continuing: []core.SoftwareVersion{"v2"}},
		}))
	})
}

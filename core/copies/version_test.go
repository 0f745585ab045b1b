package copies_test

import (
	"testing"

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

package demand_test

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/demand"
)

// agents returns n agents in each of the data centres.
func agents(n int, centres ...core.DataCentre) (out []demand.Agent) {
	for c, centre := range centres {
		for i := range n {
			out = append(out, demand.Agent{Address: netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:80", c+1, i+1)), DataCentre: centre})
		}
	}
	return out
}

func count(list []demand.Agent, chosen map[netip.AddrPort]bool, centre core.DataCentre) (near, far int) {
	for _, a := range list {
		switch {
		case !chosen[a.Address]:
		case a.DataCentre == centre:
			near++
		default:
			far++
		}
	}
	return near, far
}

func TestCarriers(t *testing.T) {
	all := agents(17, "a", "b", "c")
	t.Run("few, most of them near", func(t *testing.T) {
		for _, centre := range []core.DataCentre{"a", "b", "c"} {
			near, far := count(all, demand.Carriers(all, centre), centre)
			assert.Equal(t, near, 2)
			assert.Equal(t, far, 1)
		}
	})
	t.Run("all that there are in a small fleet", func(t *testing.T) {
		few := agents(1, "a")
		assert.Equal(t, len(demand.Carriers(few, "a")), 1)
		assert.Equal(t, len(demand.Carriers(nil, "a")), 0)
	})
}

// Guards against a planner that does not hear of an entry's demand since the agents that carried
// it have been lost, alone or with their data centre.
func TestLostCarriersAreReplaced(t *testing.T) {
	all := agents(4, "a", "b")
	first := demand.Carriers(all, "a")
	var rest []demand.Agent
	for _, a := range all {
		if !first[a.Address] {
			rest = append(rest, a)
		}
	}
	near, far := count(rest, demand.Carriers(rest, "a"), "a")
	assert.Assert(t, near == 2 && far == 1)
	_, far = count(agents(4, "b"), demand.Carriers(agents(4, "b"), "a"), "a")
	assert.Equal(t, far, 1)
}

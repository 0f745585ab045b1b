package demand

import (
	"cmp"
	"net/netip"
	"slices"

	"radishwell/core"
)

const (
	// nearCarriers and farCarriers are the numbers of agents, in the entry's own data centre and
	// beyond, that carry an entry's demand to the planner. One of them may be lost, and one data
	// centre cut off, without a gap.
	nearCarriers = 2
	farCarriers  = 1
)

// Agent is an agent that responds to an entry.
type Agent struct {
	Address    netip.AddrPort
	DataCentre core.DataCentre
}

// Carriers returns the agents that carry the demand of an entry in a data centre. The planner
// asks all agents for the demands that they carry, so each entry tells few of them: told to all
// agents by all entries, demands would make up most of what is sent between data centres.
// Entries that know the same agents choose alike.
func Carriers(agents []Agent, centre core.DataCentre) map[netip.AddrPort]bool {
	sorted := slices.SortedFunc(slices.Values(agents), func(a, b Agent) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), a.Address.Compare(b.Address))
	})
	out := map[netip.AddrPort]bool{}
	near, far := nearCarriers, farCarriers
	for _, a := range sorted {
		left := &far
		if a.DataCentre == centre {
			left = &near
		}
		if *left > 0 {
			*left--
			out[a.Address] = true
		}
	}
	return out
}

package follow

import (
	"cmp"
	"net/netip"
	"slices"

	"radishwell/core"
)

// Member is an entry as the platform's store lists it.
type Member struct {
	Name       core.HostName
	Control    netip.AddrPort
	DataCentre core.DataCentre
	// Capacity is how much processor time the entry has, in processors.
	Capacity float64
}

// Before tells whether a member goes before another by rank: the larger host first,
// since a relay has several times the work of other entries.
func (m Member) Before(other Member) bool { return compareRank(m, other) < 0 }

// Sort puts members in the order of their rank.
func Sort(members []Member) { slices.SortFunc(members, compareRank) }

func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
}

// Ranked are the members of each data centre, first by rank first.
type Ranked map[core.DataCentre][]Member

// Rank puts members in order.
func Rank(members []Member) Ranked {
	out := Ranked{}
	for _, m := range members {
		out[m.DataCentre] = append(out[m.DataCentre], m)
	}
	for _, list := range out {
		Sort(list)
	}
	return out
}

package follow

import (
	"cmp"
	"net/netip"
	"slices"

	"radishwell/core"
)

// Member is an entry as listed in the platform's store.
type Member struct {
	Name       core.HostName
	Control    netip.AddrPort
	DataCentre core.DataCentre
	// Capacity is the entry's processor time, in processors.
	Capacity float64
}

// Before reports whether a member ranks before another. Larger hosts rank first, since a
// relay has several times the work of other entries.
func (m Member) Before(other Member) bool { return compareRank(m, other) < 0 }

// Sort sorts members by rank.
func Sort(members []Member) { slices.SortFunc(members, compareRank) }

func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
}

// Ranked holds the members of each data centre in the order of their rank.
type Ranked map[core.DataCentre][]Member

// Rank groups members by data centre and sorts them by rank.
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

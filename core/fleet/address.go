package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"radishwell/core"
)

// identityGap is the least time between two questions to a host for its identity.
const identityGap = time.Second

// SetServices sets the services of the routing table in force. Entries of other services, which any
// writer may leave in the registry, do not affect which host is taken to run at an address. Before the
// first call the entries of all services do.
func (v *View) SetServices(names []core.ServiceName) {
	v.init()
	v.changes++
	v.served = make(map[core.ServiceName]bool, len(names))
	for _, name := range names {
		v.served[name] = true
	}
	for address := range v.byAddress {
		v.supersede(address)
	}
}

// mayRun reports whether an entry may be that of the host that runs at its address: it is usable, of a
// service that is served, and its incarnation is not known to have ended.
func (v *View) mayRun(h *Host) bool {
	return h.Usable && !h.ended && (v.served == nil || v.served[h.Service])
}

// NoteIncarnations records what the agent at an address reports of its host's incarnations:
// the start time of the current one, zero if the host does not report it, and the IDs of
// those that have ended. The registry lists ended incarnations for some seconds more, but
// requests and orders for them are refused.
func (v *View) NoteIncarnations(address netip.AddrPort, born int64, ended []core.HostName) {
	for _, h := range v.byAddress[address] {
		hasEnded := born != 0 && h.Born != 0 && h.Born < born || slices.Contains(ended, h.ID)
		if hasEnded != h.ended {
			h.ended = hasEnded
			v.changes++
		}
	}
	v.supersede(address)
}

// supersede marks the hosts at an address for which the registry lists a newer incarnation
// there.
func (v *View) supersede(address netip.AddrPort) {
	at := v.byAddress[address]
	for _, h := range at {
		h.superseded = slices.ContainsFunc(at, func(o *Host) bool { return o != h && v.mayRun(o) && o.supersedes(h) })
	}
}

// supersedes reports whether an incarnation counts as the one that runs at the address of another. Between
// services only what the host there says decides: a request shows that it is of another one without being run.
func (h *Host) supersedes(o *Host) bool {
	if h.Service != o.Service {
		return o.deniedAt.After(h.deniedAt)
	}
	return h.compareRun(o) > 0
}

// Newest returns the newest incarnation of a served service that the registry lists at an address and
// that is not known to have ended, the zero value if there is none. All processes that have read
// the same registry return the same one, unless the host has told some of them that it is another.
func (v *View) Newest(address netip.AddrPort) Incarnation {
	if best := v.newest(address); best != nil {
		return Incarnation{ID: best.ID, Born: best.Born}
	}
	return Incarnation{}
}

func (v *View) newest(address netip.AddrPort) (best *Host) {
	for _, h := range v.byAddress[address] {
		if !v.mayRun(h) {
			continue
		}
		if best == nil || h.compareRun(best) > 0 {
			best = h
		}
	}
	return best
}

// compareRun compares two incarnations at an address by how likely they run there. What hosts say of
// themselves counts before the entries' order, which any writer can affect. Hosts begin as ready, so an entry
// that never was is less likely to be one's.
func (h *Host) compareRun(o *Host) int {
	return cmp.Or(
		o.deniedAt.Compare(h.deniedAt), core.CompareBool(o.addedLeaving, h.addedLeaving), cmp.Compare(h.Born, o.Born),
		// An ended incarnation no longer writes its entry, so the higher revision is the newer one.
		cmp.Compare(h.Revision, o.Revision), cmp.Compare(h.ID, o.ID),
	)
}

// StartIdentityCheck reports whether a host is to be asked which incarnation it is, after it has refused a
// request for one, and records that it is. That matters only if the registry lists another incarnation that
// may run at its address.
func (v *View) StartIdentityCheck(inc Incarnation, now time.Time) bool {
	h := v.hosts[inc.ID]
	if h == nil || h.Born != inc.Born || now.Sub(h.identityAskedAt) < identityGap {
		return false
	}
	mayRun := func(o *Host) bool { return o != h && v.mayRun(o) }
	if !slices.ContainsFunc(v.byAddress[h.Address], mayRun) {
		return false
	}
	h.identityAskedAt = now
	return true
}

// NoteDenied records that the host at the address of an incarnation states that it is another one.
func (v *View) NoteDenied(inc Incarnation, now time.Time) {
	if h := v.hosts[inc.ID]; h != nil && h.Born == inc.Born {
		h.deniedAt = now
		v.changes++
		v.supersede(h.Address)
	}
}

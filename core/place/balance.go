package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishwell/core"
)

// MoveInterval is the least time between two searches for a grant to move only for
// balance. When a fleet of 640 hosts gets half of them back, each data centre's
// models need some tens of moves. A few a minute are enough, since nothing is
// refused meanwhile and each move costs the platform a handful of writes.
const MoveInterval = 10 * time.Second

// move is a move of one grant from an overloaded host to another. The model has no
// demand.
type move struct {
	from HostID
	to   core.HostName
}

// balance starts at most one move. After a data centre is lost for a while, all
// its grants are on the remaining hosts, and without balance the models of an
// evening would remain crowded on half of the hosts. Only models without
// demand move, since the old holder must release the model before the new one is
// added. A move must leave the fuller of the two hosts less full than before, so
// that the moves end.
func (p *Planner) balance(now time.Time) {
	if p.balanced || now.Before(p.nextMoveAt) {
		return
	}
	p.nextMoveAt = now.Add(MoveInterval)
	for _, h := range p.overloadedHosts() {
		for _, name := range slices.Sorted(maps.Keys(p.heldModels[h.Name])) {
			m := p.models[name]
			to := p.moveTarget(m, h)
			if to == "" {
				continue
			}
			m.move = &move{from: HostID{h.Name, h.UID}, to: to}
			p.markDirty(m)
			return
		}
	}
	p.balanced = true
}

// overloadedHosts returns the hosts above the load bound, fullest first.
func (p *Planner) overloadedHosts() []*Host {
	var list []*Host
	for name, h := range p.hosts {
		n := len(p.services[h.Service])
		if float64(p.hostLoad[name]) > LoadBound*float64(p.serviceLoad[h.Service])/float64(n) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *Host) int {
		return cmp.Or(cmp.Compare(p.hostLoad[b.Name], p.hostLoad[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// moveTarget returns the host that a model's grant should move to from h, or "".
func (p *Planner) moveTarget(m *model, h *Host) core.HostName {
	if m.entry == nil || m.entry.Base != "" || m.demand > 0 || m.inFlight || m.outdated || m.move != nil {
		return ""
	}
	i := holderIndex(m.spec.Holders, HostID{h.Name, h.UID})
	if i < 0 || m.spec.Holders[i].State != core.GrantActive {
		return ""
	}
	weight := p.memoryWithAdapters(m, h.Name)
	d := draft{p: p, m: m, holders: slices.Delete(slices.Clone(m.spec.Holders), i, i+1)}
	to := d.bestHost()
	if to == nil || to == h || p.hostLoad[to.Name]+weight >= p.hostLoad[h.Name] {
		return ""
	}
	if d.candidate(to, 0).sameCentre > d.candidate(h, 0).sameCentre {
		return ""
	}
	return to.Name
}

// memoryWithAdapters returns the memory that leaves a host with a model: its own
// and that of its adapters on the host.
func (p *Planner) memoryWithAdapters(m *model, host core.HostName) core.Bytes {
	sum := m.usage.perHolder
	for name := range p.adapters[m.name] {
		if p.heldModels[host][name] {
			sum += p.models[name].usage.perHolder
		}
	}
	return sum
}

// continueMove continues a move: it revokes the old holder, and once that has
// released the model, bestHost picks the new one. A move is abandoned if its new
// host can't take the model.
func (d *draft) continueMove() {
	s := d.m.move
	if s == nil {
		return
	}
	to := d.p.hosts[s.to]
	if d.m.entry == nil || to == nil || !d.fits(to) || d.hasHolderNamed(s.to) || d.m.demand > 0 {
		d.m.move = nil
		return
	}
	if i := holderIndex(d.holders, s.from); i >= 0 && d.holders[i].State == core.GrantActive {
		d.revoke(i, Balanced)
	}
}

// isMovingFrom reports whether a move for balance takes the model from a holder.
func (d *draft) isMovingFrom(id HostID) bool { return d.m.move != nil && d.m.move.from == id }

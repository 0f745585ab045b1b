package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishwell/core"
)

// ShiftEvery is the least time between two looks for a grant to move only for
// the sake of balance. A fleet of 640 hosts that got half of them back needs some
// tens of moves for each data centre's models; a few a minute are soon enough,
// since nothing is refused meanwhile, and each costs the platform a handful of
// writes.
const ShiftEvery = 10 * time.Second

// shift is a move of one idle grant from a crowded host to another.
type shift struct {
	from HostID
	to   core.HostName
}

// balance starts at most one move. It answers a data centre that was lost for a
// while: all its grants went to the hosts that were left, and without it they
// would stay there for ever, with the models of an evening crowded on half of
// the hosts. Only models without demand move, since the old holder must let go
// before the new one is added; and a move must leave the fuller of the two hosts
// less full than before, so that moves come to an end.
func (p *Planner) balance(now time.Time) {
	if p.balanced || now.Before(p.shiftAt) {
		return
	}
	p.shiftAt = now.Add(ShiftEvery)
	for _, h := range p.crowded() {
		for _, name := range slices.Sorted(maps.Keys(p.holding[h.Name])) {
			m := p.models[name]
			to := p.receiver(m, h)
			if to == "" {
				continue
			}
			m.shift = &shift{from: HostID{h.Name, h.UID}, to: to}
			p.touch(m)
			return
		}
	}
	p.balanced = true
}

// crowded lists the hosts above the load bound, the fullest first.
func (p *Planner) crowded() []*Host {
	var list []*Host
	for name, h := range p.hosts {
		n := len(p.services[h.Service])
		if float64(p.load[name]) > Bound*float64(p.total[h.Service])/float64(n) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *Host) int {
		return cmp.Or(cmp.Compare(p.load[b.Name], p.load[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// receiver returns the host that a model's grant should move to from h, if any.
func (p *Planner) receiver(m *model, h *Host) core.HostName {
	if m.entry == nil || m.entry.Base != "" || m.need > 0 || m.out || m.blocked || m.shift != nil {
		return ""
	}
	i := index(m.spec.Holders, HostID{h.Name, h.UID})
	if i < 0 || m.spec.Holders[i].State != core.GrantActive {
		return ""
	}
	weight := p.weight(m, h.Name)
	d := draft{p: p, m: m, holders: slices.Delete(slices.Clone(m.spec.Holders), i, i+1)}
	to := d.best()
	if to == nil || to == h || p.load[to.Name]+weight >= p.load[h.Name] {
		return ""
	}
	if d.candidate(to, 0).centre > d.candidate(h, 0).centre {
		return ""
	}
	return to.Name
}

// weight is what leaves a host with a model: itself and the adapters on it.
func (p *Planner) weight(m *model, host core.HostName) core.Bytes {
	sum := m.use.each
	for name := range p.adapters[m.name] {
		if p.holding[host][name] {
			sum += p.models[name].use.each
		}
	}
	return sum
}

// follow carries a move on: the old holder is revoked, and once it has let go
// the new one takes its place. A move whose new host can't take it is given up.
func (d *draft) follow() {
	s := d.m.shift
	if s == nil {
		return
	}
	to := d.p.hosts[s.to]
	if d.m.entry == nil || to == nil || !d.fits(to) || d.named(s.to) || d.m.need > 0 {
		d.m.shift = nil
		return
	}
	if i := index(d.holders, s.from); i >= 0 && d.holders[i].State == core.GrantActive {
		d.revoke(i, Balanced)
	}
}

// shifted reports whether a holder is on its way out for balance.
func (d *draft) shifted(id HostID) bool { return d.m.shift != nil && d.m.shift.from == id }

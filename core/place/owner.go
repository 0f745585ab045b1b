package place

import (
	"cmp"
	"math"
	"slices"

	"radishwell/core"
)

// owner sums what an owner's grants may hold.
type owner struct {
	// limit is the most memory, zero for none of its own.
	limit core.Bytes
	names set
	used  core.Bytes
	// sealed counts the names whose object carries this decider's fencing
	// number; sealing asks for the others to be written.
	sealed  int
	sealing bool
	// stale asks for a new division of the limit.
	stale bool
}

func (p *Planner) owner(name core.OwnerName) *owner {
	p.init()
	o := p.owners[name]
	if o == nil {
		o = &owner{names: set{}}
		p.owners[name] = o
	}
	return o
}

// SetOwner takes an owner's memory limit, zero for none.
func (p *Planner) SetOwner(name core.OwnerName, limit core.Bytes) {
	o := p.owner(name)
	if o.limit == limit {
		return
	}
	o.limit = limit
	o.stale = true
}

// account brings a model's part of the sums up to date.
func (p *Planner) account(m *model) {
	before := p.owner(m.use.owner)
	p.withdraw(m)
	m.use = p.useOf(m)
	p.balanced, p.searched = false, false
	o := p.owner(m.use.owner)
	o.names[m.name] = true
	o.used += m.use.each * core.Bytes(m.use.count)
	if m.use.sealed {
		o.sealed++
	}
	for _, id := range m.use.hosts {
		p.addLoad(id.Host, m.use.each)
		if p.holding[id.Host] == nil {
			p.holding[id.Host] = set{}
		}
		p.holding[id.Host][m.name] = true
	}
	p.recheck(o)
	if before != o {
		p.recheck(before)
	}
}

// recheck looks again at models that wait for room within the owner's limit.
func (p *Planner) recheck(o *owner) {
	if o.limit == 0 || !o.sealing && o.used >= o.limit {
		return
	}
	for name := range o.names {
		if p.short[name] {
			p.dirty[name] = true
		}
	}
}

func (p *Planner) withdraw(m *model) {
	o := p.owner(m.use.owner)
	delete(o.names, m.name)
	o.used -= m.use.each * core.Bytes(m.use.count)
	if m.use.sealed {
		o.sealed--
	}
	for _, id := range m.use.hosts {
		p.addLoad(id.Host, -m.use.each)
		delete(p.holding[id.Host], m.name)
	}
}

func (p *Planner) useOf(m *model) use {
	u := use{each: m.spec.Memory}
	if len(m.spec.Holders) > 0 {
		u.owner = m.spec.Owner
	}
	if m.entry != nil {
		u.owner = m.entry.Owner
		u.each = max(u.each, p.replica(m.entry))
	}
	u.sealed = m.version != 0 && !m.deleted && m.spec.Fence == p.fence
	u.hosts = appendHolders(nil, m.spec.Holders)
	u.count = len(m.spec.Holders)
	// At most one of the pending writes can have an effect: their condition is
	// the same version.
	for _, s := range m.pending {
		u.each = max(u.each, s.Memory)
		u.count = max(u.count, len(s.Holders))
		u.hosts = appendHolders(u.hosts, s.Holders)
		u.owner = cmp.Or(u.owner, s.Owner)
	}
	return u
}

func appendHolders(ids []HostID, holders []core.GrantHolder) []HostID {
	for _, h := range holders {
		id := HostID{h.Host, h.UID}
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// replica is what one holder of an entry takes over all its accelerators.
func (p *Planner) replica(e *Entry) core.Bytes {
	n := e.accelerators()
	if b := p.models[e.Base]; e.Base != "" && b != nil && b.entry != nil {
		n = b.entry.accelerators()
	}
	return e.Memory * core.Bytes(n)
}

// room reports whether one more holder stays within the owner's limit. Objects
// are bounded one by one by their conditions, but the owner's limit spans many
// of them. So nothing is added until each other object of the owner carries
// this decider's number: from then on no write of an older decider, decided
// before and delayed on its way, can meet its condition and add to the sum.
func (p *Planner) room(m *model, each core.Bytes) bool {
	o := p.owner(m.use.owner)
	if o.limit == 0 {
		return true
	}
	if o.used+each > o.limit {
		return false
	}
	others := len(o.names) - 1
	sealed := o.sealed
	if m.use.sealed {
		sealed--
	}
	if sealed == others {
		return true
	}
	if !o.sealing {
		o.sealing = true
		for name := range o.names {
			p.dirty[name] = true
		}
	}
	return false
}

// unsealed reports whether a model's object must be written for the sake of the
// owner's other models.
func (p *Planner) unsealed(m *model) bool {
	o := p.owner(m.use.owner)
	return o.limit > 0 && o.sealing && !m.use.sealed
}

// divide sets how many holders the owner's limit leaves each of its models:
// first one each by class, models before adapters, then more by need.
func (p *Planner) divide(o *owner) {
	o.stale = false
	list := p.entries(o)
	caps := make([]int, len(list))
	left := o.limit
	for grown := true; grown && o.limit > 0; {
		grown = false
		for i, m := range list {
			each := p.replica(m.entry)
			if caps[i] < m.want() && each <= left {
				caps[i]++
				left -= each
				grown = true
			}
		}
	}
	for i, m := range list {
		if o.limit == 0 {
			caps[i] = math.MaxInt
		}
		if m.cap != caps[i] {
			m.cap = caps[i]
			p.touch(m)
		}
	}
}

func (p *Planner) entries(o *owner) []*model {
	var list []*model
	for name := range o.names {
		if m := p.models[name]; m.entry != nil {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *model) int {
		return cmp.Or(
			cmp.Compare(a.entry.Class, b.entry.Class),
			cmp.Compare(len(a.entry.Base), 0)-cmp.Compare(len(b.entry.Base), 0),
			cmp.Compare(a.name, b.name),
		)
	})
	return list
}

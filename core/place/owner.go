package place

import (
	"cmp"
	"math"
	"slices"

	"radishwell/core"
)

// owner holds the sums over an owner's grants.
type owner struct {
	// limit is the most memory in bytes; zero means no limit.
	limit core.Bytes
	names modelSet
	used  core.Bytes
	// fenced counts the names whose object carries this decider's fencing number.
	// fencing is set if the others must be written, too.
	fenced  int
	fencing bool
	// limitsStale is set if the limit must be divided among the models again.
	limitsStale bool
}

func (p *Planner) owner(name core.OwnerName) *owner {
	p.init()
	o := p.owners[name]
	if o == nil {
		o = &owner{names: modelSet{}}
		p.owners[name] = o
	}
	return o
}

// SetOwner sets an owner's memory limit; zero means no limit.
func (p *Planner) SetOwner(name core.OwnerName, limit core.Bytes) {
	o := p.owner(name)
	if o.limit == limit {
		return
	}
	o.limit = limit
	o.limitsStale = true
}

// updateUsage updates the sums for a model.
func (p *Planner) updateUsage(m *model) {
	before := p.owner(m.usage.owner)
	p.subtractUsage(m)
	m.usage = p.usageOf(m)
	p.balanced, p.unknownValid = false, false
	o := p.owner(m.usage.owner)
	o.names[m.name] = true
	o.used += m.usage.perHolder * core.Bytes(m.usage.maxHolders)
	if m.usage.fenced {
		o.fenced++
	}
	for _, id := range m.usage.hosts {
		p.addLoad(id.Host, m.usage.perHolder)
		if p.heldModels[id.Host] == nil {
			p.heldModels[id.Host] = modelSet{}
		}
		p.heldModels[id.Host][m.name] = true
	}
	p.retryUnderReplicated(o)
	if before != o {
		p.retryUnderReplicated(before)
	}
}

// retryUnderReplicated marks the models that wait for room within the owner's
// limit as dirty.
func (p *Planner) retryUnderReplicated(o *owner) {
	if o.limit == 0 || !o.fencing && o.used >= o.limit {
		return
	}
	for name := range o.names {
		if p.underReplicated[name] {
			p.dirty[name] = true
		}
	}
}

func (p *Planner) subtractUsage(m *model) {
	o := p.owner(m.usage.owner)
	delete(o.names, m.name)
	o.used -= m.usage.perHolder * core.Bytes(m.usage.maxHolders)
	if m.usage.fenced {
		o.fenced--
	}
	for _, id := range m.usage.hosts {
		p.addLoad(id.Host, -m.usage.perHolder)
		delete(p.heldModels[id.Host], m.name)
	}
}

func (p *Planner) usageOf(m *model) usage {
	u := usage{perHolder: m.spec.Memory}
	if len(m.spec.Holders) > 0 {
		u.owner = m.spec.Owner
	}
	if m.entry != nil {
		u.owner = m.entry.Owner
		u.perHolder = max(u.perHolder, p.replicaMemory(m.entry))
	}
	u.fenced = m.version != 0 && !m.deleted && m.spec.Fence == p.fence
	u.hosts = appendHolders(nil, m.spec.Holders)
	u.maxHolders = len(m.spec.Holders)
	// At most one of the pending writes can have an effect, since all are conditional
	// on the same version.
	for _, s := range m.pending {
		u.perHolder = max(u.perHolder, s.Memory)
		u.maxHolders = max(u.maxHolders, len(s.Holders))
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

// replicaMemory returns the memory of one holder over all its accelerators.
func (p *Planner) replicaMemory(e *Entry) core.Bytes {
	n := e.accelerators()
	if b := p.models[e.Base]; e.Base != "" && b != nil && b.entry != nil {
		n = b.entry.accelerators()
	}
	return e.Memory * core.Bytes(n)
}

// hasRoom reports whether one more holder stays within the owner's limit. Each
// object is protected by the condition of its writes, but the owner's limit spans
// many objects. So nothing is added until each other object of the owner carries
// this decider's fencing number: from then on no delayed write of an older decider
// can meet its condition and add to the sum.
func (p *Planner) hasRoom(m *model, more core.Bytes) bool {
	o := p.owner(m.usage.owner)
	if o.limit == 0 {
		return true
	}
	if o.used+more > o.limit {
		return false
	}
	others := len(o.names) - 1
	fenced := o.fenced
	if m.usage.fenced {
		fenced--
	}
	if fenced == others {
		return true
	}
	if !o.fencing {
		o.fencing = true
		for name := range o.names {
			p.dirty[name] = true
		}
	}
	return false
}

// needsRefence reports whether a model's object must be written with the current
// fencing number, so that another model of the owner can grow.
func (p *Planner) needsRefence(m *model) bool {
	o := p.owner(m.usage.owner)
	return o.limit > 0 && o.fencing && !m.usage.fenced
}

// divideLimit sets how many holders the owner's limit leaves each of its models:
// first one each, by class and with models before adapters, then more for those
// that want more.
func (p *Planner) divideLimit(o *owner) {
	o.limitsStale = false
	list := p.sortedModels(o)
	limits := make([]int, len(list))
	left := o.limit
	for grown := true; grown && o.limit > 0; {
		grown = false
		for i, m := range list {
			each := p.replicaMemory(m.entry)
			if limits[i] < m.wantedHolders() && each <= left {
				limits[i]++
				left -= each
				grown = true
			}
		}
	}
	for i, m := range list {
		if o.limit == 0 {
			limits[i] = math.MaxInt
		}
		if m.ownerLimit != limits[i] {
			m.ownerLimit = limits[i]
			p.markDirty(m)
		}
	}
}

func (p *Planner) sortedModels(o *owner) []*model {
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

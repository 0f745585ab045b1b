package ledger

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// evictionUnit is an idle item with all adapters on it, which are evicted
// together.
type evictionUnit struct {
	items []*item
	score float64
	used  time.Time
}

// placement is one search for room.
type placement struct {
	l    *Ledger
	now  time.Time
	want LoadRequest
	keep Score
	// free is the unreserved memory of each accelerator; freeSoon adds the memory of
	// items being unloaded.
	free     []core.Bytes
	freeSoon []core.Bytes
}

func (p *placement) place() Verdict {
	accs, v := p.candidates()
	if v != Loading {
		return v
	}
	p.countFree()
	if fit := p.fitting(accs, p.free); len(fit) >= p.needed(accs) {
		p.reserve(fit[:p.needed(accs)])
		return Loading
	}
	if fit := p.fitting(accs, p.freeSoon); len(fit) >= p.needed(accs) {
		return Evicting
	}
	return p.evict(accs)
}

// candidates returns the accelerators that are large enough.
func (p *placement) candidates() ([]int, Verdict) {
	if p.want.Base != "" {
		b := p.l.items[p.want.Base]
		if b == nil || b.phase != loaded {
			return nil, NoBase
		}
		return p.largeEnough(b.accelerators, len(b.accelerators))
	}
	all := make([]int, len(p.l.capacity))
	for i := range all {
		all[i] = i
	}
	return p.largeEnough(all, p.needed(all))
}

func (p *placement) largeEnough(accs []int, need int) ([]int, Verdict) {
	fit := p.fitting(accs, p.l.capacity)
	if len(fit) < need {
		return nil, TooLarge
	}
	return fit, Loading
}

func (p *placement) needed(accs []int) int {
	if p.want.Base != "" {
		return len(accs)
	}
	return max(p.want.Accelerators, 1)
}

func (p *placement) fitting(accs []int, room []core.Bytes) []int {
	var fit []int
	for _, a := range accs {
		if a < len(room) && room[a] >= p.want.Bytes {
			fit = append(fit, a)
		}
	}
	// The fullest accelerator that fits comes first, so that large gaps stay free for
	// large models.
	slices.SortStableFunc(fit, func(a, b int) int { return cmp.Compare(room[a], room[b]) })
	return fit
}

func (p *placement) countFree() {
	p.free = p.l.Capacity()
	for a, b := range p.l.Reserved() {
		p.free[a] -= b
	}
	p.freeSoon = slices.Clone(p.free)
	for _, it := range p.l.items {
		// An unload that hangs keeps its reservation, but its memory is not expected soon.
		if it.phase == unloading && p.now.Before(it.since.Add(UnloadTimeout)) {
			addMemory(p.freeSoon, it)
		}
	}
}

func addMemory(room []core.Bytes, it *item) {
	for _, a := range it.accelerators {
		if a < len(room) {
			room[a] += it.bytes
		}
	}
}

func (p *placement) reserve(accs []int) {
	accs = slices.Sorted(slices.Values(accs))
	p.l.lastGeneration++
	p.l.items[p.want.Name] = &item{
		name: p.want.Name, base: p.want.Base, bytes: p.want.Bytes, accelerators: accs,
		source: p.want.Source, giveUp: p.want.GiveUp,
		generation: p.l.lastGeneration, since: p.now, lastUsed: p.now, nextSend: p.now,
	}
}

// evict starts the cheapest set of unloads that makes room, or none.
func (p *placement) evict(accs []int) Verdict {
	units := p.evictable()
	type plan struct {
		acc   int
		units []evictionUnit
		cost  float64
	}
	var plans []plan
	for _, a := range accs {
		chosen, ok := p.chooseUnits(a, units)
		if !ok {
			continue
		}
		pl := plan{acc: a, units: chosen}
		for _, u := range chosen {
			pl.cost += u.score
		}
		plans = append(plans, pl)
	}
	if len(plans) < p.needed(accs) {
		return NoMemory
	}
	slices.SortStableFunc(plans, func(a, b plan) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(len(a.units), len(b.units)))
	})
	for _, pl := range plans[:p.needed(accs)] {
		for _, u := range pl.units {
			for _, it := range u.items {
				it.enter(unloading, p.now)
			}
		}
	}
	return Evicting
}

// chooseUnits returns the units to evict so that accelerator a has room.
func (p *placement) chooseUnits(a int, units []evictionUnit) ([]evictionUnit, bool) {
	room := p.freeSoon[a]
	taken := map[*item]bool{}
	var chosen []evictionUnit
	for _, u := range units {
		if room >= p.want.Bytes {
			break
		}
		gain := core.Bytes(0)
		for _, it := range u.items {
			if !taken[it] && slices.Contains(it.accelerators, a) {
				gain += it.bytes
			}
		}
		if gain == 0 {
			continue
		}
		for _, it := range u.items {
			taken[it] = true
		}
		room += gain
		chosen = append(chosen, u)
	}
	return chosen, room >= p.want.Bytes
}

// evictable returns the units that may be evicted, in the order of eviction.
func (p *placement) evictable() []evictionUnit {
	var list []evictionUnit
	for _, it := range p.l.sortedItems() {
		if u, ok := p.evictionUnitOf(it); ok {
			list = append(list, u)
		}
	}
	slices.SortStableFunc(list, func(a, b evictionUnit) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.used.Compare(b.used))
	})
	return list
}

func (p *placement) evictionUnitOf(it *item) (evictionUnit, bool) {
	if it.name == p.want.Base || !it.idle() {
		return evictionUnit{}, false
	}
	u := evictionUnit{items: []*item{it}, score: p.score(it), used: it.lastUsed}
	for _, a := range p.l.adaptersOf(it.name) {
		if a.phase == unloading || a.phase == uncertain {
			continue
		}
		if !a.idle() {
			return evictionUnit{}, false
		}
		u.items = append(u.items, a)
		u.score = max(u.score, p.score(a))
		if a.lastUsed.After(u.used) {
			u.used = a.lastUsed
		}
	}
	return u, u.score < pinned
}

func (p *placement) score(it *item) float64 {
	if p.keep == nil {
		return 0
	}
	return p.keep(it.name)
}

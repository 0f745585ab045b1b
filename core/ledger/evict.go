package ledger

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// unit is what one eviction takes away: an idle item, with all adapters on it.
type unit struct {
	items []*item
	score float64
	used  time.Time
}

// placing is one search for room.
type placing struct {
	l    *Ledger
	now  time.Time
	want Want
	keep Score
	// free is what is promised to nobody, soon what leaving items will add.
	free []core.Bytes
	soon []core.Bytes
}

func (p *placing) place() Verdict {
	accs, v := p.candidates()
	if v != Coming {
		return v
	}
	p.count()
	if fit := p.fitting(accs, p.free); len(fit) >= p.needed(accs) {
		p.promise(fit[:p.needed(accs)])
		return Coming
	}
	if fit := p.fitting(accs, p.soon); len(fit) >= p.needed(accs) {
		return Evicting
	}
	return p.evict(accs)
}

// candidates returns the accelerators that may be used.
func (p *placing) candidates() ([]int, Verdict) {
	if p.want.Base != "" {
		b := p.l.items[p.want.Base]
		if b == nil || b.phase != loaded {
			return nil, NoBase
		}
		return p.large(b.accs, len(b.accs))
	}
	all := make([]int, len(p.l.capacity))
	for i := range all {
		all[i] = i
	}
	return p.large(all, p.needed(all))
}

func (p *placing) large(accs []int, need int) ([]int, Verdict) {
	fit := p.fitting(accs, p.l.capacity)
	if len(fit) < need {
		return nil, TooLarge
	}
	return fit, Coming
}

func (p *placing) needed(accs []int) int {
	if p.want.Base != "" {
		return len(accs)
	}
	return max(p.want.Accelerators, 1)
}

func (p *placing) fitting(accs []int, room []core.Bytes) []int {
	var fit []int
	for _, a := range accs {
		if a < len(room) && room[a] >= p.want.Bytes {
			fit = append(fit, a)
		}
	}
	// The fullest that still fits first, so that large gaps stay for large models.
	slices.SortStableFunc(fit, func(a, b int) int { return cmp.Compare(room[a], room[b]) })
	return fit
}

func (p *placing) count() {
	p.free = p.l.Capacity()
	for a, b := range p.l.Promised() {
		p.free[a] -= b
	}
	p.soon = slices.Clone(p.free)
	for _, it := range p.l.items {
		// An unload that hangs keeps its promise but is not waited for.
		if it.phase == leaving && p.now.Before(it.since.Add(Hang)) {
			add(p.soon, it)
		}
	}
}

func add(room []core.Bytes, it *item) {
	for _, a := range it.accs {
		if a < len(room) {
			room[a] += it.bytes
		}
	}
}

func (p *placing) promise(accs []int) {
	accs = slices.Sorted(slices.Values(accs))
	p.l.lives++
	p.l.items[p.want.Name] = &item{
		name: p.want.Name, base: p.want.Base, bytes: p.want.Bytes, accs: accs,
		source: p.want.Source, giveUp: p.want.GiveUp,
		life: p.l.lives, since: p.now, used: p.now, again: p.now,
	}
}

// evict starts the cheapest set of unloads that makes room, or none.
func (p *placing) evict(accs []int) Verdict {
	units := p.units()
	type plan struct {
		acc   int
		units []unit
		cost  float64
	}
	var plans []plan
	for _, a := range accs {
		chosen, ok := p.clear(a, units)
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
				it.enter(leaving, p.now)
			}
		}
	}
	return Evicting
}

// clear returns the units to evict so that accelerator a has room.
func (p *placing) clear(a int, units []unit) ([]unit, bool) {
	room := p.soon[a]
	taken := map[*item]bool{}
	var chosen []unit
	for _, u := range units {
		if room >= p.want.Bytes {
			break
		}
		gain := core.Bytes(0)
		for _, it := range u.items {
			if !taken[it] && slices.Contains(it.accs, a) {
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

// units lists what may be evicted, the first to go first.
func (p *placing) units() []unit {
	var list []unit
	for _, it := range p.l.sorted() {
		if u, ok := p.unitOf(it); ok {
			list = append(list, u)
		}
	}
	slices.SortStableFunc(list, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.used.Compare(b.used))
	})
	return list
}

func (p *placing) unitOf(it *item) (unit, bool) {
	if it.name == p.want.Base || !it.idle() {
		return unit{}, false
	}
	u := unit{items: []*item{it}, score: p.score(it), used: it.used}
	for _, a := range p.l.onBase(it.name) {
		if a.phase == leaving || a.phase == unsettled {
			continue
		}
		if !a.idle() {
			return unit{}, false
		}
		u.items = append(u.items, a)
		u.score = max(u.score, p.score(a))
		if a.used.After(u.used) {
			u.used = a.used
		}
	}
	return u, u.score < pinned
}

func (p *placing) score(it *item) float64 {
	if p.keep == nil {
		return 0
	}
	return p.keep(it.name)
}

package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishwell/core"
)

// CatalogueListed records that all entries of the catalogue, as the platform
// listed it, have been set. From then on, a grant without an entry counts as one
// whose entry was deleted. Round writes nothing before.
func (p *Planner) CatalogueListed() { p.catalogueListed = true }

// Round returns at most budget writes for what has changed, most urgent first.
// fence is the decider's current fencing number from the lease. The I/O layer
// sends each write and passes the outcome to SetOutcome.
func (p *Planner) Round(now time.Time, fence core.Fence, budget int) []Write {
	p.init()
	if !p.catalogueListed {
		return nil
	}
	p.takeOver(fence)
	p.lowerLevels(now)
	p.divideStaleLimits()
	found := p.requiredWrites()
	if len(found) == 0 {
		p.balance(now)
		found = p.requiredWrites()
	}
	slices.SortFunc(found, func(a, b Write) int {
		return cmp.Or(
			cmp.Compare(a.Reason, b.Reason),
			cmp.Compare(p.class(a.Name), p.class(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	var writes []Write
	for _, w := range found {
		if len(writes) >= budget {
			break
		}
		// The writes before this one have changed the sums, so decide again.
		w, ok := p.decide(p.models[w.Name])
		if !ok {
			continue
		}
		p.markInFlight(w)
		writes = append(writes, w)
	}
	return writes
}

// PendingModels returns the number of models with undecided changes, for metrics.
func (p *Planner) PendingModels() int { return len(p.dirty) }

func (p *Planner) takeOver(fence core.Fence) {
	if fence == p.fence {
		return
	}
	p.fence = fence
	for _, o := range p.owners {
		o.fencing = false
		o.limitsStale = true
	}
	for _, m := range p.models {
		p.updateUsage(m)
		p.markDirty(m)
		if m.entry != nil {
			p.adoptLevel(m)
		}
	}
}

func (p *Planner) divideStaleLimits() {
	for _, o := range p.owners {
		if o.limitsStale {
			p.divideLimit(o)
		}
	}
}

// requiredWrites decides each dirty model once and returns the writes. Models that
// need no write are no longer dirty.
func (p *Planner) requiredWrites() []Write {
	var found []Write
	for len(p.dirty) > 0 {
		names := slices.Sorted(maps.Keys(p.dirty))
		clear(p.dirty)
		for _, name := range names {
			if w, ok := p.decide(p.models[name]); ok {
				found = append(found, w)
			}
		}
	}
	found = lastPerModel(found)
	for _, w := range found {
		p.dirty[w.Name] = true
	}
	return found
}

// lastPerModel returns the last write of each name.
func lastPerModel(list []Write) []Write {
	last := map[core.ModelName]Write{}
	for _, w := range list {
		last[w.Name] = w
	}
	return slices.Collect(maps.Values(last))
}

func (p *Planner) markInFlight(w Write) {
	m := p.models[w.Name]
	delete(p.dirty, w.Name)
	m.inFlight = true
	m.pending = append(m.pending, w.Spec)
	p.updateUsage(m)
}

func (p *Planner) class(name core.ModelName) core.Class {
	if m := p.models[name]; m.entry != nil {
		return m.entry.Class
	}
	return core.ClassCount
}

// draft is the decision on one model while it is computed.
type draft struct {
	p       *Planner
	m       *model
	holders []core.GrantHolder
	reason  Reason
	changed bool
}

func (p *Planner) decide(m *model) (Write, bool) {
	delete(p.underReplicated, m.name)
	if m.inFlight || m.outdated || !p.mayWrite(m) {
		return Write{}, false
	}
	d := draft{p: p, m: m, holders: slices.Clone(m.spec.Holders), reason: reasonCount}
	d.removeGone()
	d.revokeUnfit()
	d.continueMove()
	d.shrink()
	d.grow()
	return d.write()
}

// withoutGone returns the holders whose hosts are not known to be gone.
func (p *Planner) withoutGone(holders []core.GrantHolder) []core.GrantHolder {
	return slices.DeleteFunc(slices.Clone(holders), func(h core.GrantHolder) bool {
		return p.gone[HostID{h.Host, h.UID}]
	})
}

// mayWrite reports whether the decider's view is recent enough to write a model's
// object. It is not if the object has a larger fencing number, or was decided from
// a newer version of the entry.
func (p *Planner) mayWrite(m *model) bool {
	if m.spec.Fence > p.fence {
		return false
	}
	return m.entry == nil || m.entry.Version >= m.spec.Entry
}

func (d *draft) change(r Reason) {
	d.changed = true
	d.reason = min(d.reason, r)
}

func (d *draft) removeGone() {
	n := len(d.holders)
	d.holders = d.p.withoutGone(d.holders)
	if len(d.holders) < n {
		d.change(Moved)
	}
}

func (d *draft) revokeUnfit() {
	for i, h := range d.holders {
		if h.State == core.GrantRevoked {
			continue
		}
		if d.m.entry == nil {
			d.revoke(i, Excess)
			continue
		}
		// A host that isn't known here stays until it has been read.
		if d.p.isKnown(HostID{h.Host, h.UID}) && !d.fits(d.p.hosts[h.Host]) {
			d.revoke(i, Moved)
		}
	}
}

func (d *draft) revoke(i int, r Reason) {
	d.holders[i].State = core.GrantRevoked
	d.change(r)
}

// fits reports whether a host may hold the model.
func (d *draft) fits(h *Host) bool {
	e := d.m.entry
	if h.State != core.HostLive || h.Memory < e.Memory {
		return false
	}
	if e.Base == "" {
		return h.Service == e.Service && h.Accelerators >= e.accelerators()
	}
	return slices.Contains(d.p.activeHosts(e.Base), h)
}

func (d *draft) targetHolders() int {
	if d.m.entry == nil {
		return 0
	}
	return min(d.m.wantedHolders(), d.m.ownerLimit)
}

// shrink revokes holders until demand and limits are met.
func (d *draft) shrink() {
	if d.m.entry == nil {
		return
	}
	reason := Lowered
	if countActive(d.holders) > min(d.m.entry.maxHolders(), d.m.ownerLimit) {
		reason = Excess
	}
	for countActive(d.holders) > d.targetHolders() {
		d.revoke(d.worstHolder(), reason)
	}
}

// worstHolder returns the index of the active holder that bestHost would choose
// last.
func (d *draft) worstHolder() int {
	worst := -1
	var last candidate
	for i, h := range d.holders {
		if h.State != core.GrantActive {
			continue
		}
		if !d.p.isKnown(HostID{h.Host, h.UID}) {
			return i
		}
		c := d.candidate(d.p.hosts[h.Host], 0)
		c.overBound = 0
		if worst < 0 || c.compare(&last) > 0 {
			worst = i
			last = c
		}
	}
	return worst
}

// grow reactivates or adds holders until the target is met.
func (d *draft) grow() {
	if d.m.entry == nil {
		return
	}
	reason := Raised
	if countActive(d.holders) == 0 {
		reason = Unserved
	}
	for countActive(d.holders) < d.targetHolders() {
		if d.reactivate() {
			d.change(reason)
			continue
		}
		if !d.addHolder() {
			break
		}
		d.change(reason)
	}
	if countActive(d.holders) < d.m.wantedHolders() {
		d.p.underReplicated[d.m.name] = true
	}
}

// reactivate makes a revoked holder active again, which needs neither room nor a
// load. If the host has sent a release, its condition fails.
func (d *draft) reactivate() bool {
	for i, h := range d.holders {
		id := HostID{h.Host, h.UID}
		if h.State == core.GrantRevoked && !d.isMovingFrom(id) && d.p.isKnown(id) && d.fits(d.p.hosts[h.Host]) {
			d.holders[i].State = core.GrantActive
			return true
		}
	}
	return false
}

func (d *draft) addHolder() bool {
	if len(d.holders) >= d.m.entry.maxHolders() {
		return false
	}
	h := d.bestHost()
	if h == nil {
		return false
	}
	more := max(len(d.holders)+1-d.m.usage.maxHolders, 0)
	if !d.p.hasRoom(d.m, d.m.usage.perHolder*core.Bytes(more)) {
		return false
	}
	d.holders = append(d.holders, core.GrantHolder{Host: h.Name, UID: h.UID, State: core.GrantActive})
	return true
}

func (d *draft) write() (Write, bool) {
	d.markRequired()
	w := Write{Name: d.m.name, Spec: d.spec(), Version: d.m.condition(), Reason: d.reason}
	return w, d.changed
}

// markRequired marks a write that is needed although the holders don't change.
func (d *draft) markRequired() {
	m := d.m
	switch {
	case m.deleted && len(d.holders) > 0:
		// The object was deleted manually; its holders still exist.
		d.change(Excess)
	case d.changed:
	case d.p.needsRefence(m):
		d.change(Refenced)
	case m.entry != nil && len(d.holders) > 0 && m.spec.Memory != d.p.replicaMemory(m.entry):
		d.change(Recorded)
	case m.entry == nil && len(m.pending) > 0:
		// Another create rules out one with an unknown outcome.
		d.change(Refenced)
	}
}

func (d *draft) spec() core.GrantSpec {
	m := d.m
	slices.SortFunc(d.holders, func(a, b core.GrantHolder) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.UID, b.UID))
	})
	s := core.GrantSpec{Fence: d.p.fence, Holders: d.holders}
	if m.entry == nil {
		// The last entry's version, owner and memory stay on record.
		s.Entry, s.Owner, s.Memory = m.spec.Entry, m.spec.Owner, m.spec.Memory
		return s
	}
	s.Entry, s.Owner, s.Memory = m.entry.Version, m.entry.Owner, d.p.replicaMemory(m.entry)
	return s
}

package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"radishwell/core"
)

// Listed tells that all entries of the catalogue, as the platform listed it,
// have been set. From then on a grant without an entry counts as one whose
// entry was deleted. Round writes nothing before.
func (p *Planner) Listed() { p.listed = true }

// Round returns at most budget writes for what has changed, the most urgent
// first. Fence is the decider's number as the lease tells it right now. The
// shell sends each write and tells the outcome to Answered.
func (p *Planner) Round(now time.Time, fence core.Fence, budget int) []Write {
	p.init()
	if !p.listed {
		return nil
	}
	p.takeOver(fence)
	p.lower(now)
	p.divideStale()
	found := p.candidates()
	if len(found) == 0 {
		p.balance(now)
		found = p.candidates()
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
		// Decided anew, since the writes before it have changed the sums.
		w, ok := p.decide(p.models[w.Name])
		if !ok {
			continue
		}
		p.send(w)
		writes = append(writes, w)
	}
	return writes
}

// Waiting returns how many models have undecided changes, for metrics.
func (p *Planner) Waiting() int { return len(p.dirty) }

func (p *Planner) takeOver(fence core.Fence) {
	if fence == p.fence {
		return
	}
	p.fence = fence
	for _, o := range p.owners {
		o.sealing = false
		o.stale = true
	}
	for _, m := range p.models {
		p.account(m)
		p.touch(m)
		if m.entry != nil {
			p.adopt(m)
		}
	}
}

func (p *Planner) divideStale() {
	for _, o := range p.owners {
		if o.stale {
			p.divide(o)
		}
	}
}

// candidates decides each changed model once and forgets those that need no
// write.
func (p *Planner) candidates() []Write {
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
	found = unique(found)
	for _, w := range found {
		p.dirty[w.Name] = true
	}
	return found
}

// unique keeps the last write of each name.
func unique(list []Write) []Write {
	last := map[core.ModelName]Write{}
	for _, w := range list {
		last[w.Name] = w
	}
	return slices.Collect(maps.Values(last))
}

func (p *Planner) send(w Write) {
	m := p.models[w.Name]
	delete(p.dirty, w.Name)
	m.out = true
	m.pending = append(m.pending, w.Spec)
	p.account(m)
}

func (p *Planner) class(name core.ModelName) core.Class {
	if m := p.models[name]; m.entry != nil {
		return m.entry.Class
	}
	return core.ClassCount
}

// draft is one decision in the making.
type draft struct {
	p       *Planner
	m       *model
	holders []core.GrantHolder
	reason  Reason
	changed bool
}

func (p *Planner) decide(m *model) (Write, bool) {
	delete(p.short, m.name)
	if m.out || m.blocked || !p.mayWrite(m) {
		return Write{}, false
	}
	d := draft{p: p, m: m, holders: slices.Clone(m.spec.Holders), reason: reasonCount}
	d.removeGone()
	d.revokeUnfit()
	d.follow()
	d.shrink()
	d.grow()
	return d.write()
}

// present returns the holders whose hosts are not known to be gone.
func (p *Planner) present(holders []core.GrantHolder) []core.GrantHolder {
	return slices.DeleteFunc(slices.Clone(holders), func(h core.GrantHolder) bool {
		return p.gone[HostID{h.Host, h.UID}]
	})
}

// mayWrite refuses what a decider that is behind would write: over a larger
// fencing number, or from an older version of the entry than the object names.
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
	d.holders = d.p.present(d.holders)
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
		// A host that isn't known here is left as it is until it is looked up.
		if d.p.known(HostID{h.Host, h.UID}) && !d.fits(d.p.hosts[h.Host]) {
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
	return slices.Contains(d.p.holders(e.Base), h)
}

func (d *draft) target() int {
	if d.m.entry == nil {
		return 0
	}
	return min(d.m.want(), d.m.cap)
}

// shrink revokes the holders that demand and limits have no place for.
func (d *draft) shrink() {
	if d.m.entry == nil {
		return
	}
	reason := Lowered
	if active(d.holders) > min(d.m.entry.limit(), d.m.cap) {
		reason = Excess
	}
	for active(d.holders) > d.target() {
		d.revoke(d.worst(), reason)
	}
}

// worst returns the active holder that would be chosen last.
func (d *draft) worst() int {
	worst := -1
	var last candidate
	for i, h := range d.holders {
		if h.State != core.GrantActive {
			continue
		}
		if !d.p.known(HostID{h.Host, h.UID}) {
			return i
		}
		c := d.candidate(d.p.hosts[h.Host], 0)
		c.over = 0
		if worst < 0 || c.compare(&last) > 0 {
			worst = i
			last = c
		}
	}
	return worst
}

// grow brings holders back or adds some until the target is met.
func (d *draft) grow() {
	if d.m.entry == nil {
		return
	}
	reason := Raised
	if active(d.holders) == 0 {
		reason = Unserved
	}
	for active(d.holders) < d.target() {
		if d.bringBack() {
			d.change(reason)
			continue
		}
		if !d.add() {
			break
		}
		d.change(reason)
	}
	if active(d.holders) < d.m.want() {
		d.p.short[d.m.name] = true
	}
}

// bringBack makes a revoked holder active again, which needs neither room nor
// a load. The release it may have sent fails its condition.
func (d *draft) bringBack() bool {
	for i, h := range d.holders {
		id := HostID{h.Host, h.UID}
		if h.State == core.GrantRevoked && !d.shifted(id) && d.p.known(id) && d.fits(d.p.hosts[h.Host]) {
			d.holders[i].State = core.GrantActive
			return true
		}
	}
	return false
}

func (d *draft) add() bool {
	if len(d.holders) >= d.m.entry.limit() {
		return false
	}
	h := d.best()
	if h == nil {
		return false
	}
	more := max(len(d.holders)+1-d.m.use.count, 0)
	if !d.p.room(d.m, d.m.use.each*core.Bytes(more)) {
		return false
	}
	d.holders = append(d.holders, core.GrantHolder{Host: h.Name, UID: h.UID, State: core.GrantActive})
	return true
}

func (d *draft) write() (Write, bool) {
	d.rewrite()
	w := Write{Name: d.m.name, Spec: d.spec(), Version: d.m.condition(), Reason: d.reason}
	return w, d.changed
}

// rewrite marks what must be written though the decision is the same.
func (d *draft) rewrite() {
	m := d.m
	switch {
	case m.deleted && len(d.holders) > 0:
		// Deleted by hand: the holders are still there.
		d.change(Excess)
	case d.changed:
	case d.p.unsealed(m):
		d.change(Sealed)
	case m.entry != nil && len(d.holders) > 0 && m.spec.Memory != d.p.replica(m.entry):
		d.change(Recorded)
	case m.entry == nil && len(m.pending) > 0:
		// A create whose fate is unknown is ruled out by another one.
		d.change(Sealed)
	}
}

func (d *draft) spec() core.GrantSpec {
	m := d.m
	slices.SortFunc(d.holders, func(a, b core.GrantHolder) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.UID, b.UID))
	})
	s := core.GrantSpec{Fence: d.p.fence, Holders: d.holders}
	if m.entry == nil {
		// The last entry's owner and memory stay on record.
		s.Entry, s.Owner, s.Memory = m.spec.Entry, m.spec.Owner, m.spec.Memory
		return s
	}
	s.Entry, s.Owner, s.Memory = m.entry.Version, m.entry.Owner, d.p.replica(m.entry)
	return s
}

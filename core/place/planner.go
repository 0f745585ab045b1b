package place

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// Planner is the decider's view and what it has under way. The zero value is
// ready for use; it is not safe for concurrent use.
type Planner struct {
	models map[core.ModelName]*model
	hosts  map[core.HostName]*Host
	gone   map[HostID]bool
	owners map[core.OwnerName]*owner
	// load is the granted memory of each host, total that of each service.
	load     map[core.HostName]core.Bytes
	total    map[core.ServiceName]core.Bytes
	services map[core.ServiceName]map[core.HostName]bool
	copies   map[core.HostName]map[core.ModelName]core.Tier
	holding  map[core.HostName]map[core.ModelName]bool
	adapters map[core.ModelName]map[core.ModelName]bool

	dirty set
	// short are models with fewer active holders than wanted: a new host may
	// serve them.
	short    set
	lowering set
	fence    core.Fence
	listed   bool

	// balanced tells that nothing has changed since no grant was found to move
	// for balance; shiftAt is when the next may.
	balanced bool
	shiftAt  time.Time
	// unproven is what Unproven found last, searched that it still holds.
	unproven []HostID
	searched bool
}

// model is all that is known of one name.
type model struct {
	name core.ModelName
	// entry is the one in force, dropped the version of the last deletion.
	entry   *Entry
	dropped core.Version
	spec    core.GrantSpec
	version core.Version
	// deleted tells that the object at version was deleted; the holders in spec
	// are what is known of it.
	deleted bool
	// blocked tells that a write conditional on version must fail: the object
	// has moved on, and SetGrant will bring what it is now.
	blocked bool
	// pending are writes conditional on version that may have an effect yet;
	// out tells that one of them is unanswered.
	pending []core.GrantSpec
	out     bool

	need    float64
	level   int
	lowerAt time.Time
	// cap is the most holders that the owner's memory limit leaves.
	cap int
	// shift is a move for balance that is under way.
	shift *shift
	// use is what the model adds to the sums.
	use use
}

// use is what a model's holders, those of pending writes included, add to the
// sums of its owner and of the hosts.
type use struct {
	owner core.OwnerName
	// each is what one holder takes, count the most holders there may be, hosts
	// all that may be among them.
	each   core.Bytes
	count  int
	hosts  []HostID
	sealed bool
}

type set = map[core.ModelName]bool

func (p *Planner) init() {
	if p.models != nil {
		return
	}
	p.models = map[core.ModelName]*model{}
	p.hosts = map[core.HostName]*Host{}
	p.gone = map[HostID]bool{}
	p.owners = map[core.OwnerName]*owner{}
	p.load = map[core.HostName]core.Bytes{}
	p.total = map[core.ServiceName]core.Bytes{}
	p.services = map[core.ServiceName]map[core.HostName]bool{}
	p.copies = map[core.HostName]map[core.ModelName]core.Tier{}
	p.holding = map[core.HostName]map[core.ModelName]bool{}
	p.adapters = map[core.ModelName]map[core.ModelName]bool{}
	p.dirty = set{}
	p.short = set{}
	p.lowering = set{}
}

func (p *Planner) model(name core.ModelName) *model {
	p.init()
	m := p.models[name]
	if m == nil {
		m = &model{name: name}
		p.models[name] = m
	}
	return m
}

func (p *Planner) service(name core.ServiceName) map[core.HostName]bool {
	s := p.services[name]
	if s == nil {
		s = map[core.HostName]bool{}
		p.services[name] = s
	}
	return s
}

// SetEntry takes a catalogue entry in force. Older versions are ignored.
func (p *Planner) SetEntry(e Entry) {
	m := p.model(e.Name)
	if m.dropped >= e.Version || m.entry != nil && m.entry.Version >= e.Version {
		return
	}
	p.unlink(m)
	m.entry = &e
	p.link(m)
	p.touch(m)
	p.accountAdapters(e.Name)
}

// DropEntry tells that an entry was deleted in the catalogue at version v.
func (p *Planner) DropEntry(name core.ModelName, v core.Version) {
	m := p.model(name)
	if m.dropped >= v || m.entry != nil && m.entry.Version >= v {
		return
	}
	m.dropped = v
	p.unlink(m)
	m.entry = nil
	p.link(m)
	p.touch(m)
	p.accountAdapters(name)
}

func (p *Planner) unlink(m *model) {
	if m.entry == nil {
		return
	}
	delete(p.adapters[m.entry.Base], m.name)
}

func (p *Planner) link(m *model) {
	if m.entry != nil && m.entry.Base != "" {
		if p.adapters[m.entry.Base] == nil {
			p.adapters[m.entry.Base] = set{}
		}
		p.adapters[m.entry.Base][m.name] = true
	}
	p.account(m)
	p.owner(m.use.owner).stale = true
}

// SetHost takes a host as the platform lists it. A UID once gone stays gone.
func (p *Planner) SetHost(h Host) {
	p.init()
	if p.gone[HostID{h.Name, h.UID}] {
		return
	}
	if h.State == core.HostGone {
		p.Gone(HostID{h.Name, h.UID})
		return
	}
	old := p.hosts[h.Name]
	if old != nil && *old == h {
		return
	}
	if old != nil && old.UID != h.UID {
		// A host's name carries one object at a time: the old life is over.
		p.Gone(HostID{old.Name, old.UID})
	}
	p.remove(h.Name)
	p.hosts[h.Name] = &h
	p.service(h.Service)[h.Name] = true
	p.total[h.Service] += p.load[h.Name]
	p.touchHost(h.Name)
	p.balanced, p.searched = false, false
	for name := range p.short {
		p.dirty[name] = true
	}
}

func (p *Planner) remove(name core.HostName) {
	h := p.hosts[name]
	if h == nil {
		return
	}
	delete(p.hosts, name)
	delete(p.service(h.Service), name)
	p.total[h.Service] -= p.load[name]
}

func (p *Planner) addLoad(name core.HostName, b core.Bytes) {
	p.load[name] += b
	if h := p.hosts[name]; h != nil {
		p.total[h.Service] += b
	}
}

// Gone tells that the platform no longer lists this life of a host: a deletion
// was seen, or a read of the host found nothing or another UID. It is the only
// proof other than a release on which a holder is removed. A host that is
// merely absent from a copy of the list is not gone: the copy may be older than
// the grant.
func (p *Planner) Gone(id HostID) {
	p.init()
	p.gone[id] = true
	p.balanced, p.searched = false, false
	if h := p.hosts[id.Host]; h != nil && h.UID == id.UID {
		p.remove(id.Host)
		delete(p.copies, id.Host)
	}
	p.touchHost(id.Host)
}

// Unproven lists holders whose host is not known here. The shell reads each
// from the platform and calls SetHost or Gone.
func (p *Planner) Unproven() []HostID {
	if !p.searched {
		// All grants are looked through, which at each round was half of what a
		// decider at rest took; only hosts and grants change the result.
		p.unproven, p.searched = p.searchUnproven(), true
	}
	return slices.Clone(p.unproven)
}

func (p *Planner) searchUnproven() []HostID {
	found := map[HostID]bool{}
	for host, names := range p.holding {
		for name := range names {
			for _, h := range p.models[name].spec.Holders {
				id := HostID{h.Host, h.UID}
				if h.Host == host && !p.gone[id] && !p.known(id) {
					found[id] = true
				}
			}
		}
	}
	list := make([]HostID, 0, len(found))
	for id := range found {
		list = append(list, id)
	}
	slices.SortFunc(list, func(a, b HostID) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.UID, b.UID))
	})
	return list
}

func (p *Planner) known(id HostID) bool {
	h := p.hosts[id.Host]
	return h != nil && h.UID == id.UID
}

// SetCopies tells which checkpoints a host has in memory or on disk.
func (p *Planner) SetCopies(host core.HostName, copies []core.EngineCopy) {
	p.init()
	m := make(map[core.ModelName]core.Tier, len(copies))
	for _, c := range copies {
		if have, ok := m[c.Name]; !ok || c.Tier < have {
			m[c.Name] = c.Tier
		}
	}
	p.copies[host] = m
}

// SetGrant takes a grant object as found in the platform or a copy of it. Older
// versions than the newest seen are ignored.
func (p *Planner) SetGrant(name core.ModelName, spec core.GrantSpec, v core.Version) {
	m := p.model(name)
	if v < m.version || v == m.version && !m.deleted && m.version != 0 {
		return
	}
	p.setGrant(m, spec, v, false)
}

// DropGrant tells that a grant object was deleted at version v. Its last known
// holders keep counting, and are written again, because a deletion proves
// nothing about what is loaded.
func (p *Planner) DropGrant(name core.ModelName, v core.Version) {
	m := p.model(name)
	if v <= m.version {
		return
	}
	p.setGrant(m, m.spec, v, true)
}

func (p *Planner) setGrant(m *model, spec core.GrantSpec, v core.Version, deleted bool) {
	// No write conditional on an older version can have an effect any more; but
	// a create may still, after a deletion that was seen before the creation.
	if !deleted || m.condition() != 0 {
		m.pending = nil
	}
	m.out = false
	m.blocked = false
	m.spec = spec
	m.version = v
	m.deleted = deleted
	if spec.Fence != p.fence {
		p.adopt(m)
	}
	p.account(m)
	p.touch(m)
	p.touchAdapters(m.name)
}

// Answered tells what became of the write for a name. After Applied the new
// version must follow with SetGrant, unless it came before.
func (p *Planner) Answered(w Write, out Outcome) {
	m := p.model(w.Name)
	if w.Version != m.condition() {
		return
	}
	m.out = false
	switch out {
	case Refused, Overtaken:
		m.blocked = out == Overtaken
		m.pending = slices.DeleteFunc(m.pending, func(s core.GrantSpec) bool { return same(s, w.Spec) })
	case Applied:
		m.blocked = true
	case Unsure:
	}
	p.account(m)
	p.touch(m)
}

// condition is what a write of the model must be conditional on.
func (m *model) condition() core.Version {
	if m.deleted {
		return 0
	}
	return m.version
}

func (p *Planner) touch(m *model) { p.dirty[m.name] = true }

func (p *Planner) touchAdapters(base core.ModelName) {
	for name := range p.adapters[base] {
		p.dirty[name] = true
	}
}

// accountAdapters follows a change of the base's entry: an adapter takes memory
// on as many accelerators as its base.
func (p *Planner) accountAdapters(base core.ModelName) {
	for name := range p.adapters[base] {
		m := p.models[name]
		p.account(m)
		p.owner(m.use.owner).stale = true
		p.touch(m)
	}
}

func (p *Planner) touchHost(host core.HostName) {
	for name := range p.holding[host] {
		p.dirty[name] = true
	}
}

func same(a, b core.GrantSpec) bool {
	return a.Fence == b.Fence && a.Entry == b.Entry && a.Owner == b.Owner &&
		a.Memory == b.Memory && slices.Equal(a.Holders, b.Holders)
}

package place

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// Planner holds the decider's view of the fleet and its writes in flight. The zero
// value is ready for use; it is not safe for concurrent use.
type Planner struct {
	models map[core.ModelName]*model
	hosts  map[core.HostName]*Host
	gone   map[HostID]bool
	owners map[core.OwnerName]*owner
	// hostLoad is the granted memory of each host, serviceLoad that of each service.
	hostLoad    map[core.HostName]core.Bytes
	serviceLoad map[core.ServiceName]core.Bytes
	services    map[core.ServiceName]map[core.HostName]bool
	copies      map[core.HostName]map[core.ModelName]core.Tier
	heldModels  map[core.HostName]map[core.ModelName]bool
	adapters    map[core.ModelName]map[core.ModelName]bool

	dirty modelSet
	// underReplicated has the models with fewer active holders than wanted; a new
	// host may serve them.
	underReplicated modelSet
	lowering        modelSet
	fence           core.Fence
	catalogueListed bool

	// balanced is set if nothing has changed since balance found no grant to move;
	// nextMoveAt is when it may start the next move.
	balanced   bool
	nextMoveAt time.Time
	// unknown is the last result of UnknownHolders; unknownValid is set while it is up
	// to date.
	unknown      []HostID
	unknownValid bool
}

// model holds all that is known of one name.
type model struct {
	name core.ModelName
	// entry is the one in force, nil if there is none. deletedAt is the version of
	// the last deletion.
	entry     *Entry
	deletedAt core.Version
	spec      core.GrantSpec
	version   core.Version
	// deleted is set if the object was deleted at version; spec then has the last
	// known holders.
	deleted bool
	// outdated is set if the object has a newer version than version, so that a write
	// conditional on version must fail. SetGrant will bring the newer one.
	outdated bool
	// pending has the writes conditional on version that may still have an effect;
	// inFlight is set while one of them has no answer.
	pending  []core.GrantSpec
	inFlight bool

	demand  float64
	level   int
	lowerAt time.Time
	// ownerLimit is the most holders that the owner's memory limit leaves.
	ownerLimit int
	// move is a move for balance in progress, nil if there is none.
	move *move
	// usage is the model's part of the sums.
	usage usage
}

// usage is the part of a model's holders, including those of pending writes, in
// the sums of its owner and of the hosts.
type usage struct {
	owner core.OwnerName
	// perHolder is the memory of one holder, maxHolders the most holders there may
	// be, and hosts all hosts that may be among them.
	perHolder  core.Bytes
	maxHolders int
	hosts      []HostID
	fenced     bool
}

type modelSet = map[core.ModelName]bool

func (p *Planner) init() {
	if p.models != nil {
		return
	}
	p.models = map[core.ModelName]*model{}
	p.hosts = map[core.HostName]*Host{}
	p.gone = map[HostID]bool{}
	p.owners = map[core.OwnerName]*owner{}
	p.hostLoad = map[core.HostName]core.Bytes{}
	p.serviceLoad = map[core.ServiceName]core.Bytes{}
	p.services = map[core.ServiceName]map[core.HostName]bool{}
	p.copies = map[core.HostName]map[core.ModelName]core.Tier{}
	p.heldModels = map[core.HostName]map[core.ModelName]bool{}
	p.adapters = map[core.ModelName]map[core.ModelName]bool{}
	p.dirty = modelSet{}
	p.underReplicated = modelSet{}
	p.lowering = modelSet{}
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

// SetEntry sets a catalogue entry in force. Older versions are ignored.
func (p *Planner) SetEntry(e Entry) {
	m := p.model(e.Name)
	if m.deletedAt >= e.Version || m.entry != nil && m.entry.Version >= e.Version {
		return
	}
	p.unlinkAdapter(m)
	m.entry = &e
	p.linkEntry(m)
	p.markDirty(m)
	p.updateAdapterUsage(e.Name)
}

// DeleteEntry records that an entry was deleted in the catalogue at version v.
func (p *Planner) DeleteEntry(name core.ModelName, v core.Version) {
	m := p.model(name)
	if m.deletedAt >= v || m.entry != nil && m.entry.Version >= v {
		return
	}
	m.deletedAt = v
	p.unlinkAdapter(m)
	m.entry = nil
	p.linkEntry(m)
	p.markDirty(m)
	p.updateAdapterUsage(name)
}

func (p *Planner) unlinkAdapter(m *model) {
	if m.entry == nil {
		return
	}
	delete(p.adapters[m.entry.Base], m.name)
}

func (p *Planner) linkEntry(m *model) {
	if m.entry != nil && m.entry.Base != "" {
		if p.adapters[m.entry.Base] == nil {
			p.adapters[m.entry.Base] = modelSet{}
		}
		p.adapters[m.entry.Base][m.name] = true
	}
	p.updateUsage(m)
	p.owner(m.usage.owner).limitsStale = true
}

// SetHost sets a host as the platform lists it. It ignores a UID that is gone.
func (p *Planner) SetHost(h Host) {
	p.init()
	if p.gone[HostID{h.Name, h.UID}] {
		return
	}
	if h.State == core.HostGone {
		p.RemoveHost(HostID{h.Name, h.UID})
		return
	}
	old := p.hosts[h.Name]
	if old != nil && *old == h {
		return
	}
	if old != nil && old.UID != h.UID {
		// A name has one object at a time, so the previous incarnation is gone.
		p.RemoveHost(HostID{old.Name, old.UID})
	}
	p.removeHost(h.Name)
	p.hosts[h.Name] = &h
	p.service(h.Service)[h.Name] = true
	p.serviceLoad[h.Service] += p.hostLoad[h.Name]
	p.markHostDirty(h.Name)
	p.balanced, p.unknownValid = false, false
	for name := range p.underReplicated {
		p.dirty[name] = true
	}
}

func (p *Planner) removeHost(name core.HostName) {
	h := p.hosts[name]
	if h == nil {
		return
	}
	delete(p.hosts, name)
	delete(p.service(h.Service), name)
	p.serviceLoad[h.Service] -= p.hostLoad[name]
}

func (p *Planner) addLoad(name core.HostName, b core.Bytes) {
	p.hostLoad[name] += b
	if h := p.hosts[name]; h != nil {
		p.serviceLoad[h.Service] += b
	}
}

// RemoveHost records that the platform no longer lists this incarnation of a host:
// a deletion was seen, or a read of the host found nothing or another UID. Apart
// from a release, this is the only proof on which a holder is removed. A host that
// is merely absent from a copy of the list is not gone: the copy may be older than
// the grant.
func (p *Planner) RemoveHost(id HostID) {
	p.init()
	p.gone[id] = true
	p.balanced, p.unknownValid = false, false
	if h := p.hosts[id.Host]; h != nil && h.UID == id.UID {
		p.removeHost(id.Host)
		delete(p.copies, id.Host)
	}
	p.markHostDirty(id.Host)
}

// UnknownHolders returns the holders whose host is not known here. The I/O layer
// reads each from the platform and calls SetHost or RemoveHost.
func (p *Planner) UnknownHolders() []HostID {
	if !p.unknownValid {
		// The search reads all grants. Doing so in each round took half of the time of
		// an idle decider. Only hosts and grants change the result.
		p.unknown, p.unknownValid = p.findUnknownHolders(), true
	}
	return slices.Clone(p.unknown)
}

func (p *Planner) findUnknownHolders() []HostID {
	found := map[HostID]bool{}
	for host, names := range p.heldModels {
		for name := range names {
			for _, h := range p.models[name].spec.Holders {
				id := HostID{h.Host, h.UID}
				if h.Host == host && !p.gone[id] && !p.isKnown(id) {
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

func (p *Planner) isKnown(id HostID) bool {
	h := p.hosts[id.Host]
	return h != nil && h.UID == id.UID
}

// SetCopies sets the checkpoints that a host has in memory or on disk.
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

// SetGrant sets a grant object as read from the platform or from a copy of it.
// Versions older than the newest seen are ignored.
func (p *Planner) SetGrant(name core.ModelName, spec core.GrantSpec, v core.Version) {
	m := p.model(name)
	if v < m.version || v == m.version && !m.deleted && m.version != 0 {
		return
	}
	p.setGrant(m, spec, v, false)
}

// DeleteGrant records that a grant object was deleted at version v. Its last known
// holders still count and are written again, because a deletion does not prove
// that the model is unloaded.
func (p *Planner) DeleteGrant(name core.ModelName, v core.Version) {
	m := p.model(name)
	if v <= m.version {
		return
	}
	p.setGrant(m, m.spec, v, true)
}

func (p *Planner) setGrant(m *model, spec core.GrantSpec, v core.Version, deleted bool) {
	// No write conditional on an older version can have an effect any more. A create
	// still may, if the deletion was seen before the creation.
	if !deleted || m.condition() != 0 {
		m.pending = nil
	}
	m.inFlight = false
	m.outdated = false
	m.spec = spec
	m.version = v
	m.deleted = deleted
	if spec.Fence != p.fence {
		p.adoptLevel(m)
	}
	p.updateUsage(m)
	p.markDirty(m)
	p.markAdaptersDirty(m.name)
}

// SetOutcome records the outcome of a write. After Applied the new version must
// follow with SetGrant, unless it came before.
func (p *Planner) SetOutcome(w Write, out Outcome) {
	m := p.model(w.Name)
	if w.Version != m.condition() {
		return
	}
	m.inFlight = false
	switch out {
	case Refused, Conflict:
		m.outdated = out == Conflict
		m.pending = slices.DeleteFunc(m.pending, func(s core.GrantSpec) bool { return equalSpec(s, w.Spec) })
	case Applied:
		m.outdated = true
	case Unknown:
	}
	p.updateUsage(m)
	p.markDirty(m)
}

// condition returns the version that a write of the model must be conditional on.
func (m *model) condition() core.Version {
	if m.deleted {
		return 0
	}
	return m.version
}

func (p *Planner) markDirty(m *model) { p.dirty[m.name] = true }

func (p *Planner) markAdaptersDirty(base core.ModelName) {
	for name := range p.adapters[base] {
		p.dirty[name] = true
	}
}

// updateAdapterUsage updates the sums after a change of the base's entry: an
// adapter takes memory on as many accelerators as its base.
func (p *Planner) updateAdapterUsage(base core.ModelName) {
	for name := range p.adapters[base] {
		m := p.models[name]
		p.updateUsage(m)
		p.owner(m.usage.owner).limitsStale = true
		p.markDirty(m)
	}
}

func (p *Planner) markHostDirty(host core.HostName) {
	for name := range p.heldModels[host] {
		p.dirty[name] = true
	}
}

func equalSpec(a, b core.GrantSpec) bool {
	return a.Fence == b.Fence && a.Entry == b.Entry && a.Owner == b.Owner &&
		a.Memory == b.Memory && slices.Equal(a.Holders, b.Holders)
}

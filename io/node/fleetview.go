package node

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/lease"
	"radishwell/core/place"
	"radishwell/io/entry"
	"radishwell/io/events"
	"radishwell/io/peer"
)

// listedHost is a host as the platform lists it.
type listedHost struct {
	uid     string
	version core.Version
	spec    core.HostSpec
}

// grantObject is a grant with the version of its object. The hosts in the grant may
// load the model.
type grantObject struct {
	spec    core.GrantSpec
	version core.Version
}

// fleetView is a process's view of the fleet: the catalogue in force, the hosts that
// the platform lists, the grants and the holder of the lease. Its objects come from
// replicas, whose versions never decrease, and from lists of the platform; host and
// grant objects that are older than the known ones are ignored.
type fleetView struct {
	mu    sync.RWMutex
	view  catlog.View
	hosts map[core.HostName]listedHost
	// deleted holds the versions at which hosts were deleted.
	deleted map[core.HostName]core.Version
	grants  map[core.ModelName]grantObject
	// byTarget caches the hosts that may serve a target until the next change.
	byTarget map[string][]entry.Host
	members  *members
	// holder is the entry that the lease names.
	holder core.HostName
	// statusesDue is set if catalogue entries may have statuses to write.
	statusesDue bool
	// onObject is called with each new object after it has been applied, onReports
	// with the changes of the catalogue. The caller holds mu.
	onObject  func(core.Object)
	onReports func([]catlog.Report)
}

func newFleetView(m *members) *fleetView {
	return &fleetView{
		hosts: map[core.HostName]listedHost{}, deleted: map[core.HostName]core.Version{}, grants: map[core.ModelName]grantObject{},
		members: m, byTarget: map[string][]entry.Host{}, onObject: func(core.Object) {}, onReports: func([]catlog.Report) {},
	}
}

// apply applies changed objects of any kinds. They come from the replicas and, when
// this process becomes the decider, from lists of the platform. Objects older than
// the known ones are ignored.
func (f *fleetView) apply(objects []core.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onReports(f.view.Apply(objects...))
	for _, o := range objects {
		if f.applyObject(o) {
			f.onObject(o)
		}
	}
	clear(f.byTarget)
}

// applyObject applies one object and reports whether it was new.
func (f *fleetView) applyObject(o core.Object) bool {
	switch o.Kind {
	case core.KindHost:
		return f.applyHost(o)
	case core.KindGrant:
		return f.applyGrant(o)
	case core.KindLease:
		f.applyLease(o)
	default:
		f.statusesDue = true
	}
	return true
}

func (f *fleetView) applyHost(o core.Object) bool {
	name := core.HostName(o.Name)
	if o.Version < max(f.hosts[name].version, f.deleted[name]) {
		return false
	}
	if o.Deleted {
		delete(f.hosts, name)
		f.deleted[name] = o.Version
		f.members.setListed(name, core.HostGone, true)
		events.Log(events.HostGone, "host", name)
		return true
	}
	var spec core.HostSpec
	if json.Unmarshal(o.Spec, &spec) != nil {
		return false
	}
	delete(f.deleted, name)
	f.members.setListed(name, spec.State, spec.State == core.HostGone)
	f.hosts[name] = listedHost{uid: o.UID, version: o.Version, spec: spec}
	return true
}

func (f *fleetView) applyGrant(o core.Object) bool {
	name := core.ModelName(o.Name)
	if o.Version < f.grants[name].version {
		return false
	}
	if o.Deleted {
		// The version is kept, so that an older copy does not restore the grant.
		f.grants[name] = grantObject{version: o.Version}
		return true
	}
	var spec core.GrantSpec
	if json.Unmarshal(o.Spec, &spec) != nil {
		return false
	}
	f.grants[name] = grantObject{spec: spec, version: o.Version}
	return true
}

func (f *fleetView) applyLease(o core.Object) {
	spec, err := lease.Parse(o)
	if o.Name != lease.Name || o.Deleted || err != nil {
		return
	}
	f.holder = spec.Holder
}

// decider returns the entry that holds the lease, or an empty name if none is known.
func (f *fleetView) decider() core.HostName {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.holder
}

// snapshot returns the catalogue in force.
func (f *fleetView) snapshot() *catlog.Snapshot { return f.view.Snapshot() }

// host returns a host that the platform lists.
func (f *fleetView) host(name core.HostName) (listedHost, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	h, ok := f.hosts[name]
	return h, ok
}

// entryHost returns a host in the form that the entry role uses.
func (f *fleetView) entryHost(name core.HostName) (entry.Host, bool) {
	h, ok := f.host(name)
	if !ok {
		return entry.Host{}, false
	}
	return hostOf(name, h), true
}

func hostOf(name core.HostName, h listedHost) entry.Host {
	return entry.Host{Name: name, DataCentre: h.spec.DataCentre, Work: h.spec.Work, Control: h.spec.Control}
}

// serving lists the hosts that may serve a target: the holders of an active grant for
// its model, or all hosts of a plain service.
func (f *fleetView) serving(t core.Target) []entry.Host {
	key := t.Name()
	f.mu.RLock()
	list, ok := f.byTarget[key]
	f.mu.RUnlock()
	if ok {
		return list
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Model == "" {
		list = f.serviceHosts(t.Service)
	} else {
		list = f.grantHolders(t.Model)
	}
	f.byTarget[key] = list
	return list
}

func (f *fleetView) serviceHosts(name core.ServiceName) []entry.Host {
	var list []entry.Host
	for host, h := range f.hosts {
		if h.spec.Role == core.UpstreamHost && h.spec.Service == name {
			list = append(list, hostOf(host, h))
		}
	}
	return list
}

func (f *fleetView) grantHolders(name core.ModelName) []entry.Host {
	var list []entry.Host
	for _, g := range f.grants[name].spec.Holders {
		h, ok := f.hosts[g.Host]
		if ok && h.uid == g.UID && g.State == core.GrantActive {
			list = append(list, hostOf(g.Host, h))
		}
	}
	return list
}

// grantOf returns the state of a host's grant for an item. It reports false if the
// host has none.
func (f *fleetView) grantOf(host core.HostName, name core.ModelName) (core.GrantState, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	h, ok := f.hosts[host]
	if !ok {
		return "", false
	}
	return place.HolderState(f.grants[name].spec, place.HostID{Host: host, UID: h.uid})
}

// revokedOf lists the items whose grants to a host are revoked.
func (f *fleetView) revokedOf(host core.HostName) []core.ModelName {
	f.mu.RLock()
	defer f.mu.RUnlock()
	h, ok := f.hosts[host]
	if !ok {
		return nil
	}
	var names []core.ModelName
	for name, g := range f.grants {
		state, held := place.HolderState(g.spec, place.HostID{Host: host, UID: h.uid})
		if held && state == core.GrantRevoked {
			names = append(names, name)
		}
	}
	return names
}

// grant returns the newest known grant for an item.
func (f *fleetView) grant(name core.ModelName) (grantObject, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	g, ok := f.grants[name]
	return g, ok
}

// entries lists the entry hosts that the platform lists as live, sorted by name.
func (f *fleetView) entries() []core.HostName {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []core.HostName
	for name, h := range f.hosts {
		if h.spec.Role == core.EntryHost && h.spec.State == core.HostLive {
			list = append(list, name)
		}
	}
	return slices.Sorted(slices.Values(list))
}

// dueStatuses returns at most limit catalogue entries whose status in the platform is
// outdated. Checking all entries takes milliseconds, so it is done only after a
// change or if the previous check found any.
func (f *fleetView) dueStatuses(limit int) []core.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.statusesDue {
		return nil
	}
	list := f.view.DueStatuses()
	f.statusesDue = len(list) > 0
	return list[:min(len(list), limit)]
}

// noGrants reports whether no grant has ever been received, so that nothing can have
// been decided yet.
func (f *fleetView) noGrants() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.grants) == 0
}

// controlTargets lists the control addresses of all hosts, sorted by name.
func (f *fleetView) controlTargets() []peer.Target {
	f.mu.RLock()
	defer f.mu.RUnlock()
	list := make([]peer.Target, 0, len(f.hosts))
	for name, h := range f.hosts {
		if h.spec.Control.IsValid() {
			list = append(list, peer.Target{Host: name, Address: h.spec.Control})
		}
	}
	slices.SortFunc(list, func(a, b peer.Target) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// agents returns the number of a service's agents that the platform lists.
func (f *fleetView) agents(service core.ServiceName) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.serviceHosts(service))
}

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

// listed is a host as the platform lists it.
type listed struct {
	uid     string
	version core.Version
	spec    core.HostSpec
}

// granted is a grant object.
type granted struct {
	spec    core.GrantSpec
	version core.Version
}

// world is what a process knows of the fleet: the catalogue in force, the hosts
// that the platform lists, and the grants. It is fed with objects that have
// passed a replica, so no version goes back.
type world struct {
	mu    sync.RWMutex
	view  catlog.View
	hosts map[core.HostName]listed
	// unlisted are the versions at which hosts were deleted.
	unlisted map[core.HostName]core.Version
	grants   map[core.ModelName]granted
	// byTarget caches the hosts that may serve a target until something changes.
	byTarget map[string][]entry.Host
	members  *members
	// holder is the entry that the lease names.
	holder core.HostName
	// judged tells that catalogue entries changed since due was asked last.
	judged bool
	// changed is told of each object, after the world has taken it.
	changed func(core.Object)
	reports func([]catlog.Report)
}

func newWorld(m *members) *world {
	return &world{
		hosts: map[core.HostName]listed{}, unlisted: map[core.HostName]core.Version{}, grants: map[core.ModelName]granted{},
		members: m, byTarget: map[string][]entry.Host{}, changed: func(core.Object) {}, reports: func([]catlog.Report) {},
	}
}

// apply takes changed objects of any kinds. They come from the replicas and,
// when this process begins to decide, from lists of the platform; what is older
// than what is known is passed over.
func (w *world) apply(objects []core.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports(w.view.Apply(objects...))
	for _, o := range objects {
		if w.take(o) {
			w.changed(o)
		}
	}
	clear(w.byTarget)
}

// take takes one object and tells whether it was news.
func (w *world) take(o core.Object) bool {
	switch o.Kind {
	case core.KindHost:
		return w.takeHost(o)
	case core.KindGrant:
		return w.takeGrant(o)
	case core.KindLease:
		w.applyLease(o)
	default:
		w.judged = true
	}
	return true
}

func (w *world) takeHost(o core.Object) bool {
	name := core.HostName(o.Name)
	if o.Version < max(w.hosts[name].version, w.unlisted[name]) {
		return false
	}
	if o.Deleted {
		delete(w.hosts, name)
		w.unlisted[name] = o.Version
		w.members.seen(name, core.HostGone, true)
		events.Log(events.HostGone, "host", name)
		return true
	}
	var spec core.HostSpec
	if json.Unmarshal(o.Spec, &spec) != nil {
		return false
	}
	delete(w.unlisted, name)
	w.members.seen(name, spec.State, spec.State == core.HostGone)
	w.hosts[name] = listed{uid: o.UID, version: o.Version, spec: spec}
	return true
}

func (w *world) takeGrant(o core.Object) bool {
	name := core.ModelName(o.Name)
	if o.Version < w.grants[name].version {
		return false
	}
	if o.Deleted {
		// Kept with its version, so that an older copy does not bring it back.
		w.grants[name] = granted{version: o.Version}
		return true
	}
	var spec core.GrantSpec
	if json.Unmarshal(o.Spec, &spec) != nil {
		return false
	}
	w.grants[name] = granted{spec: spec, version: o.Version}
	return true
}

func (w *world) applyLease(o core.Object) {
	spec, err := lease.Parse(o)
	if o.Name != lease.Name || o.Deleted || err != nil {
		return
	}
	w.holder = spec.Holder
}

// decider returns the entry that the lease names, empty where none is known.
func (w *world) decider() core.HostName {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.holder
}

// snapshot returns the catalogue in force.
func (w *world) snapshot() *catlog.Snapshot { return w.view.Snapshot() }

// host returns a host that the platform lists.
func (w *world) host(name core.HostName) (listed, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	h, ok := w.hosts[name]
	return h, ok
}

// entryHost returns a host in the form that the entry role takes.
func (w *world) entryHost(name core.HostName) (entry.Host, bool) {
	h, ok := w.host(name)
	if !ok {
		return entry.Host{}, false
	}
	return hostOf(name, h), true
}

func hostOf(name core.HostName, h listed) entry.Host {
	return entry.Host{Name: name, DataCentre: h.spec.DataCentre, Work: h.spec.Work, Control: h.spec.Control}
}

// serving lists the hosts that may serve a target: the holders of its grant, or
// all hosts of a plain service.
func (w *world) serving(t core.Target) []entry.Host {
	key := t.Name()
	w.mu.RLock()
	list, ok := w.byTarget[key]
	w.mu.RUnlock()
	if ok {
		return list
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.Model == "" {
		list = w.ofService(t.Service)
	} else {
		list = w.holders(t.Model)
	}
	w.byTarget[key] = list
	return list
}

func (w *world) ofService(name core.ServiceName) []entry.Host {
	var list []entry.Host
	for host, h := range w.hosts {
		if h.spec.Role == core.UpstreamHost && h.spec.Service == name {
			list = append(list, hostOf(host, h))
		}
	}
	return list
}

func (w *world) holders(name core.ModelName) []entry.Host {
	var list []entry.Host
	for _, g := range w.grants[name].spec.Holders {
		h, ok := w.hosts[g.Host]
		if ok && h.uid == g.UID && g.State == core.GrantActive {
			list = append(list, hostOf(g.Host, h))
		}
	}
	return list
}

// grantOf returns how a host's grant for an item stands.
func (w *world) grantOf(host core.HostName, name core.ModelName) (core.GrantState, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	h, ok := w.hosts[host]
	if !ok {
		return "", false
	}
	return place.HolderState(w.grants[name].spec, place.HostID{Host: host, UID: h.uid})
}

// revokedOf lists the items whose grant to a host was taken back.
func (w *world) revokedOf(host core.HostName) []core.ModelName {
	w.mu.RLock()
	defer w.mu.RUnlock()
	h, ok := w.hosts[host]
	if !ok {
		return nil
	}
	var names []core.ModelName
	for name, g := range w.grants {
		state, held := place.HolderState(g.spec, place.HostID{Host: host, UID: h.uid})
		if held && state == core.GrantRevoked {
			names = append(names, name)
		}
	}
	return names
}

// grant returns a grant object as last seen.
func (w *world) grant(name core.ModelName) (granted, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	g, ok := w.grants[name]
	return g, ok
}

// entries lists the entry hosts that the platform lists as live, by name.
func (w *world) entries() []core.HostName {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []core.HostName
	for name, h := range w.hosts {
		if h.spec.Role == core.EntryHost && h.spec.State == core.HostLive {
			list = append(list, name)
		}
	}
	return slices.Sorted(slices.Values(list))
}

// due returns at most limit catalogue entries whose status in the platform is
// behind. Looking at all of them costs milliseconds, so it is done only after a
// change, or while some were left over.
func (w *world) due(limit int) []core.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.judged {
		return nil
	}
	list := w.view.DueStatuses()
	w.judged = len(list) > 0
	return list[:min(len(list), limit)]
}

// blank tells that no grant has ever been seen: nothing was decided yet.
func (w *world) blank() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return len(w.grants) == 0
}

// targets lists the control addresses of all hosts, in the order of their names.
func (w *world) targets() []peer.Target {
	w.mu.RLock()
	defer w.mu.RUnlock()
	list := make([]peer.Target, 0, len(w.hosts))
	for name, h := range w.hosts {
		if h.spec.Control.IsValid() {
			list = append(list, peer.Target{Host: name, Address: h.spec.Control})
		}
	}
	slices.SortFunc(list, func(a, b peer.Target) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// agents counts the agents of a service that the platform lists.
func (w *world) agents(service core.ServiceName) int {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return len(w.ofService(service))
}

package catlog

import (
	"slices"
	"strconv"

	"radishwell/core"
)

// index finds good entries by name while they are held against each other.
type index struct {
	owners   map[core.OwnerName]*good
	services map[core.ServiceName]*good
	models   map[core.ModelName]*good
	adapters map[core.ModelName]*good
	// owned counts the owners that list a digest.
	owned map[string]int
	// bad holds the models that are not served.
	bad map[core.ModelName]bool
}

// resolve works out anew which entries are in force. It looks at nothing but the
// good versions, so that the order in which they came makes no difference.
// At 3,500 entries it takes a few milliseconds, at most once per batch of changes.
func (v *View) resolve(touched map[id]bool) []Report {
	order := v.order()
	x := v.index(order)
	// Adapters depend on models and models on services; this order sees each
	// after what it depends on.
	for _, kind := range []core.Kind{core.KindOwner, core.KindService, core.KindModel, core.KindAdapter} {
		for _, at := range order {
			if at.kind == kind {
				x.hold(v.records[at])
			}
		}
	}
	v.revision++
	v.now.Store(v.snapshot(order))
	return v.reports(order, touched)
}

func (v *View) index(order []id) *index {
	x := &index{
		owners:   map[core.OwnerName]*good{},
		services: map[core.ServiceName]*good{},
		models:   map[core.ModelName]*good{},
		adapters: map[core.ModelName]*good{},
		owned:    map[string]int{},
		bad:      map[core.ModelName]bool{},
	}
	for _, at := range order {
		if g := v.records[at].good; g != nil {
			x.add(g)
		}
	}
	return x
}

func (x *index) add(g *good) {
	switch s := g.spec; s.kind {
	case core.KindOwner:
		x.owners[core.OwnerName(s.name)] = g
		for _, k := range s.owner.Keys {
			x.owned[k.Digest]++
		}
	case core.KindService:
		x.services[core.ServiceName(s.name)] = g
	case core.KindModel:
		x.models[core.ModelName(s.name)] = g
	case core.KindAdapter:
		x.adapters[core.ModelName(s.name)] = g
	}
}

// hold sets the faults of one entry against the others.
func (x *index) hold(r *record) {
	r.cross = nil
	if r.good == nil {
		return
	}
	switch s := r.good.spec; s.kind {
	case core.KindOwner:
		r.cross = x.ownerFaults(s.owner)
	case core.KindService:
		r.cross = x.serviceFaults(s.service)
	case core.KindModel:
		r.cross = x.modelFaults(s)
		x.bad[core.ModelName(s.name)] = blocked(r.cross)
	case core.KindAdapter:
		r.cross = x.adapterFaults(s)
	}
}

// ownerFaults finds digests that several owners list. A key that stood for two
// owners would run requests in the wrong one's name, so it stands for none.
func (x *index) ownerFaults(o *core.OwnerSpec) []Fault {
	var faults []Fault
	for i, k := range o.Keys {
		if x.owned[k.Digest] > 1 {
			key := "keys[" + strconv.Itoa(i) + "].digest"
			faults = append(faults, Fault{CheckKeyShared, key, "another owner lists it too, so that it opens to none"})
		}
	}
	return faults
}

func (x *index) serviceFaults(s *core.ServiceSpec) []Fault {
	if s.Type == core.EngineService {
		return nil
	}
	return append(x.ownerThere(s.Owner), x.sharedThere(s.SharedWith)...)
}

func (x *index) modelFaults(s spec) []Fault {
	m := s.model
	faults := x.ownerThere(m.Owner)
	if _, taken := x.services[core.ServiceName(s.name)]; taken {
		faults = append(faults, Fault{CheckNameTaken, "", "a service has this name"})
	}
	switch service, ok := x.services[m.Service]; {
	case !ok:
		faults = append(faults, Fault{CheckServiceThere, "service", missing("service", string(m.Service))})
	case service.spec.service.Type != core.EngineService:
		faults = append(faults, Fault{CheckServiceKind, "service", strconv.Quote(string(m.Service)) + " is a plain service"})
	}
	faults = append(faults, x.fits(m.Owner, m.Memory*core.Bytes(max(m.Accelerators, 1)), m.Limits.Replicas)...)
	return append(faults, x.sharedThere(m.SharedWith)...)
}

func (x *index) adapterFaults(s spec) []Fault {
	a := s.adapter
	faults := x.ownerThere(a.Owner)
	_, service := x.services[core.ServiceName(s.name)]
	_, model := x.models[core.ModelName(s.name)]
	if service || model {
		faults = append(faults, Fault{CheckNameTaken, "", "a service or model has this name"})
	}
	faults = append(faults, x.baseFaults(a.Base)...)
	faults = append(faults, x.fits(a.Owner, a.Memory, a.Limits.Replicas)...)
	return append(faults, x.sharedThere(a.SharedWith)...)
}

func (x *index) baseFaults(base core.ModelName) []Fault {
	if _, ok := x.models[base]; ok {
		if x.bad[base] {
			return []Fault{{CheckBasePending, "base", "model " + strconv.Quote(string(base)) + " is not in force"}}
		}
		return nil
	}
	if _, ok := x.adapters[base]; ok {
		return []Fault{{CheckBaseModel, "base", strconv.Quote(string(base)) + " is an adapter"}}
	}
	return []Fault{{CheckBaseThere, "base", missing("model", string(base))}}
}

func (x *index) ownerThere(name core.OwnerName) []Fault {
	if _, ok := x.owners[name]; ok {
		return nil
	}
	return []Fault{{CheckOwnerThere, "owner", missing("owner", string(name))}}
}

func (x *index) sharedThere(names []core.OwnerName) []Fault {
	var faults []Fault
	for i, n := range names {
		if _, ok := x.owners[n]; !ok && n != everyone {
			faults = append(faults, Fault{CheckSharedThere, "shared-with[" + strconv.Itoa(i) + "]", missing("owner", string(n))})
		}
	}
	return faults
}

// fits holds the memory of one replica, and of all the limit allows, against the
// owner's limit. Both are advice: the placement keeps to the owner's limit
// whatever the entry says, and taking a model out of service because its owner's
// limit was lowered would be worse than running fewer replicas.
func (x *index) fits(owner core.OwnerName, replica core.Bytes, replicas int) []Fault {
	g, ok := x.owners[owner]
	if !ok || g.spec.owner.Limits.Memory == 0 {
		return nil
	}
	limit := g.spec.owner.Limits.Memory
	if replica > limit {
		return []Fault{{CheckNeverFits, "memory", "one replica takes " + replica.String() + ", the owner's limit is " + limit.String()}}
	}
	if core.Bytes(replicas) > limit/replica {
		return []Fault{{CheckReplicasFit, "limits.replicas", strconv.Itoa(replicas) + " replicas of " + replica.String() + " are more than the owner's limit of " + limit.String()}}
	}
	return nil
}

func missing(kind, name string) string { return "no " + kind + " " + strconv.Quote(name) }

// reports returns the entries whose standing has changed, and remembers it.
func (v *View) reports(order []id, touched map[id]bool) []Report {
	var out []Report
	for _, at := range order {
		r := v.records[at]
		state, served := r.standing(), core.Version(0)
		if r.inForce() {
			served = r.good.version
		}
		if r.object.Deleted {
			state = ""
		}
		if state == r.state && served == r.served && !(touched[at] && r.met == r.object.Version) {
			continue
		}
		r.state, r.served = state, served
		out = append(out, Report{
			Kind:    at.kind,
			Name:    at.name,
			State:   state,
			Version: r.object.Version,
			Served:  served,
			Deleted: r.object.Deleted,
			Faults:  slices.Clone(r.faults()),
		})
	}
	return out
}

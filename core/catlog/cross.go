package catlog

import (
	"strconv"

	"radishwell/core"
)

// index finds the entries in force by name while others are held against them.
type index struct {
	owners   map[core.OwnerName]*core.OwnerSpec
	services map[core.ServiceName]*core.ServiceSpec
	models   map[core.ModelName]*core.ModelSpec
	// known holds the models and adapters that are not deleted, in force or not.
	known map[id]bool
	// listed counts the owners in force that list a digest.
	listed map[Digest]int
	// names and digests count the entries that had one when they were served last,
	// before the changes at hand. Whoever was served first keeps it: an operator's
	// slip in a new entry must not take an old one out of service, or let its
	// callers pass for somebody else's.
	names   map[string]int
	digests map[Digest]int
}

func newIndex() *index {
	return &index{
		owners:   map[core.OwnerName]*core.OwnerSpec{},
		services: map[core.ServiceName]*core.ServiceSpec{},
		models:   map[core.ModelName]*core.ModelSpec{},
		known:    map[id]bool{},
		listed:   map[Digest]int{},
		names:    map[string]int{},
		digests:  map[Digest]int{},
	}
}

// note takes in that an entry is there, and what it had when it was served last.
func (x *index) note(r *record) {
	if !r.object.Deleted {
		x.known[r.at] = true
	}
	g := r.holder()
	switch {
	case g == nil:
	case r.at.kind == core.KindOwner:
		for d := range g.has {
			x.digests[d]++
		}
	default:
		x.names[r.at.name]++
	}
}

// add puts an entry in force.
func (x *index) add(g *good) {
	switch s := g.spec; s.kind {
	case core.KindOwner:
		x.owners[core.OwnerName(s.name)] = s.owner
		for _, d := range g.digests {
			x.listed[d]++
		}
	case core.KindService:
		x.services[core.ServiceName(s.name)] = s.service
	case core.KindModel:
		x.models[core.ModelName(s.name)] = s.model
	}
}

// faults holds a version of an entry against the entries in force.
func (x *index) faults(r *record, g *good) []Fault {
	switch r.at.kind {
	case core.KindOwner:
		return x.ownerFaults(g, r.holder())
	case core.KindService:
		return append(x.nameFaults(r, false), x.serviceFaults(g.spec.service)...)
	case core.KindModel:
		inForce := x.services[core.ServiceName(r.at.name)] != nil
		return append(x.nameFaults(r, inForce), x.modelFaults(g.spec.model)...)
	default:
		inForce := x.services[core.ServiceName(r.at.name)] != nil || x.models[core.ModelName(r.at.name)] != nil
		return append(x.nameFaults(r, inForce), x.adapterFaults(g.spec.adapter)...)
	}
}

// ownerFaults finds digests that other owners list. A key that stood for two
// owners would run requests in the wrong one's name.
func (x *index) ownerFaults(g, before *good) []Fault {
	var faults []Fault
	for i, d := range g.digests {
		had := before != nil && before.has[d]
		key := "keys[" + strconv.Itoa(i) + "].digest"
		switch {
		case !had && x.digests[d] > 0:
			faults = append(faults, fault(CheckKeyTaken, key, "another owner has it already"))
		case x.listed[d] > 1:
			faults = append(faults, fault(CheckKeyShared, key, "another owner lists it too, so that it opens to none"))
		}
	}
	return faults
}

// nameFaults tells whether another entry has the name. Entries that were served
// before go first; among the rest, those of the kind that is resolved first.
func (x *index) nameFaults(r *record, inForce bool) []Fault {
	taken := r.holder() == nil && x.names[r.at.name] > 0
	if !taken && !inForce {
		return nil
	}
	return []Fault{fault(CheckNameTaken, "", "another service, model or adapter has this name")}
}

func (x *index) serviceFaults(s *core.ServiceSpec) []Fault {
	if s.Type == core.EngineService {
		return nil
	}
	return append(x.ownerThere(s.Owner), x.sharedThere(s.SharedWith)...)
}

func (x *index) modelFaults(m *core.ModelSpec) []Fault {
	faults := x.ownerThere(m.Owner)
	switch service := x.services[m.Service]; {
	case service == nil:
		faults = append(faults, absent(CheckServiceThere, "service", core.KindService, string(m.Service), x.why(core.KindService, string(m.Service))))
	case service.Type != core.EngineService:
		faults = append(faults, fault(CheckServiceKind, "service", strconv.Quote(string(m.Service))+" is a plain service"))
	}
	faults = append(faults, x.fits(m.Owner, m.Memory*core.Bytes(max(m.Accelerators, 1)), m.Limits.Replicas)...)
	return append(faults, x.sharedThere(m.SharedWith)...)
}

func (x *index) adapterFaults(a *core.AdapterSpec) []Fault {
	faults := x.ownerThere(a.Owner)
	faults = append(faults, x.baseFaults(a.Base)...)
	accelerators := 1
	if base := x.models[a.Base]; base != nil {
		accelerators = max(base.Accelerators, 1)
	}
	faults = append(faults, x.fits(a.Owner, a.Memory*core.Bytes(accelerators), a.Limits.Replicas)...)
	return append(faults, x.sharedThere(a.SharedWith)...)
}

func (x *index) baseFaults(base core.ModelName) []Fault {
	switch {
	case x.models[base] != nil:
		return nil
	case x.known[id{core.KindModel, string(base)}]:
		return []Fault{absent(CheckBasePending, "base", core.KindModel, string(base), "is not in force")}
	case x.known[id{core.KindAdapter, string(base)}]:
		return []Fault{fault(CheckBaseModel, "base", strconv.Quote(string(base))+" is an adapter")}
	default:
		return []Fault{absent(CheckBaseThere, "base", core.KindModel, string(base), isMissing)}
	}
}

func (x *index) ownerThere(name core.OwnerName) []Fault {
	if x.owners[name] != nil {
		return nil
	}
	return []Fault{absent(CheckOwnerThere, "owner", core.KindOwner, string(name), isMissing)}
}

func (x *index) sharedThere(names []core.OwnerName) []Fault {
	var faults []Fault
	for i, n := range names {
		if x.owners[n] == nil && n != everyone {
			faults = append(faults, absent(CheckSharedThere, "shared-with["+strconv.Itoa(i)+"]", core.KindOwner, string(n), isMissing))
		}
	}
	return faults
}

// fits holds the memory of one replica, and of all the limit allows, against the
// owner's limit. Both are advice: the placement keeps to the owner's limit
// whatever the entry says, and taking a model out of service because its owner's
// limit was lowered would be worse than running fewer replicas.
func (x *index) fits(owner core.OwnerName, replica core.Bytes, replicas int) []Fault {
	o := x.owners[owner]
	if o == nil || o.Limits.Memory == 0 {
		return nil
	}
	limit := o.Limits.Memory
	if replica > limit {
		return []Fault{fault(CheckNeverFits, "memory", "one replica takes "+replica.String()+", the owner's limit is "+limit.String())}
	}
	if core.Bytes(replicas) > limit/replica {
		return []Fault{fault(CheckReplicasFit, "limits.replicas", strconv.Itoa(replicas)+" replicas of "+replica.String()+" are more than the owner's limit of "+limit.String())}
	}
	return nil
}

// why tells how an entry that is needed is not in force.
func (x *index) why(kind core.Kind, name string) string {
	if x.known[id{kind, name}] {
		return "is not in force"
	}
	return isMissing
}

const isMissing = "is not in the catalogue"

// absent returns a fault about another entry.
func absent(check CheckID, key string, kind core.Kind, name, reason string) Fault {
	f := fault(check, key, strconv.Quote(name)+" "+reason)
	f.about = id{kind, name}
	return f
}

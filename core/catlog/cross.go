package catlog

import (
	"strconv"

	"radishwell/core"
)

// index holds the entries in force by name while further entries are checked
// against them.
type index struct {
	owners   map[core.OwnerName]*core.OwnerSpec
	services map[core.ServiceName]*core.ServiceSpec
	models   map[core.ModelName]*core.ModelSpec
	// known holds the models and adapters that are not deleted, in force or not.
	known map[id]bool
	// listed counts, by digest, the owners in force that list it.
	listed map[Digest]int
	// reservedNames and reservedDigests count the entries that had a name or digest
	// when they were last served, before the current batch of changes. The entry that
	// was served first keeps it: a mistake in a new entry must not take an existing
	// one out of service, or attribute its callers to another owner.
	reservedNames   map[string]int
	reservedDigests map[Digest]int
}

func newIndex() *index {
	return &index{
		owners:          map[core.OwnerName]*core.OwnerSpec{},
		services:        map[core.ServiceName]*core.ServiceSpec{},
		models:          map[core.ModelName]*core.ModelSpec{},
		known:           map[id]bool{},
		listed:          map[Digest]int{},
		reservedNames:   map[string]int{},
		reservedDigests: map[Digest]int{},
	}
}

// addRecord adds an entry to the known ones and reserves the name and digests that
// it had when it was last served.
func (x *index) addRecord(r *record) {
	if !r.object.Deleted {
		x.known[r.id] = true
	}
	vs := r.reserved()
	switch {
	case vs == nil:
	case r.id.kind == core.KindOwner:
		for d := range vs.has {
			x.reservedDigests[d]++
		}
	default:
		x.reservedNames[r.id.name]++
	}
}

// addServed adds a version that is in force.
func (x *index) addServed(vs *validSpec) {
	switch s := vs.spec; s.kind {
	case core.KindOwner:
		x.owners[core.OwnerName(s.name)] = s.owner
		for _, d := range vs.digests {
			x.listed[d]++
		}
	case core.KindService:
		x.services[core.ServiceName(s.name)] = s.service
	case core.KindModel:
		x.models[core.ModelName(s.name)] = s.model
	}
}

// faults checks a version of an entry against the entries in force.
func (x *index) faults(r *record, vs *validSpec) []Fault {
	switch r.id.kind {
	case core.KindOwner:
		return x.ownerFaults(vs, r.reserved())
	case core.KindService:
		return append(x.nameFaults(r, false), x.serviceFaults(vs.spec.service)...)
	case core.KindModel:
		inForce := x.services[core.ServiceName(r.id.name)] != nil
		return append(x.nameFaults(r, inForce), x.modelFaults(vs.spec.model)...)
	default:
		inForce := x.services[core.ServiceName(r.id.name)] != nil || x.models[core.ModelName(r.id.name)] != nil
		return append(x.nameFaults(r, inForce), x.adapterFaults(vs.spec.adapter)...)
	}
}

// ownerFaults reports digests that other owners list. If a key belonged to two
// owners, requests would be charged to the wrong one.
func (x *index) ownerFaults(vs, previous *validSpec) []Fault {
	var faults []Fault
	for i, d := range vs.digests {
		had := previous != nil && previous.has[d]
		key := "keys[" + strconv.Itoa(i) + "].digest"
		switch {
		case !had && x.reservedDigests[d] > 0:
			faults = append(faults, fault(CheckKeyTaken, key, "another owner has it already"))
		case x.listed[d] > 1:
			faults = append(faults, fault(CheckKeyShared, key, "another owner lists it too, so that it opens to none"))
		}
	}
	return faults
}

// nameFaults reports a name that belongs to another entry. Entries that were served
// before take precedence; among the others, those of the kind that is resolved
// first.
func (x *index) nameFaults(r *record, inForce bool) []Fault {
	taken := r.reserved() == nil && x.reservedNames[r.id.name] > 0
	if !taken && !inForce {
		return nil
	}
	return []Fault{fault(CheckNameTaken, "", "another service, model or adapter has this name")}
}

func (x *index) serviceFaults(s *core.ServiceSpec) []Fault {
	if s.Type == core.EngineService {
		return nil
	}
	return append(x.missingOwner(s.Owner), x.missingShared(s.SharedWith)...)
}

func (x *index) modelFaults(m *core.ModelSpec) []Fault {
	faults := x.missingOwner(m.Owner)
	switch service := x.services[m.Service]; {
	case service == nil:
		faults = append(faults, referenceFault(CheckServiceExists, "service", core.KindService, string(m.Service), x.unservedReason(core.KindService, string(m.Service))))
	case service.Type != core.EngineService:
		faults = append(faults, fault(CheckServiceKind, "service", strconv.Quote(string(m.Service))+" is a plain service"))
	}
	faults = append(faults, x.memoryFaults(m.Owner, m.Memory*core.Bytes(max(m.Accelerators, 1)), m.Limits.Replicas)...)
	return append(faults, x.missingShared(m.SharedWith)...)
}

func (x *index) adapterFaults(a *core.AdapterSpec) []Fault {
	faults := x.missingOwner(a.Owner)
	faults = append(faults, x.baseFaults(a.Base)...)
	accelerators := 1
	if base := x.models[a.Base]; base != nil {
		accelerators = max(base.Accelerators, 1)
	}
	faults = append(faults, x.memoryFaults(a.Owner, a.Memory*core.Bytes(accelerators), a.Limits.Replicas)...)
	return append(faults, x.missingShared(a.SharedWith)...)
}

func (x *index) baseFaults(base core.ModelName) []Fault {
	switch {
	case x.models[base] != nil:
		return nil
	case x.known[id{core.KindModel, string(base)}]:
		return []Fault{referenceFault(CheckBasePending, "base", core.KindModel, string(base), "is not in force")}
	case x.known[id{core.KindAdapter, string(base)}]:
		return []Fault{fault(CheckBaseModel, "base", strconv.Quote(string(base))+" is an adapter")}
	default:
		return []Fault{referenceFault(CheckBaseExists, "base", core.KindModel, string(base), notInCatalogue)}
	}
}

func (x *index) missingOwner(name core.OwnerName) []Fault {
	if x.owners[name] != nil {
		return nil
	}
	return []Fault{referenceFault(CheckOwnerExists, "owner", core.KindOwner, string(name), notInCatalogue)}
}

func (x *index) missingShared(names []core.OwnerName) []Fault {
	var faults []Fault
	for i, n := range names {
		if x.owners[n] == nil && n != everyone {
			faults = append(faults, referenceFault(CheckSharedExists, "shared-with["+strconv.Itoa(i)+"]", core.KindOwner, string(n), notInCatalogue))
		}
	}
	return faults
}

// memoryFaults compares the memory of one replica, and of as many as the entry's
// limit allows, with the owner's limit. Both checks are advice: placement observes
// the owner's limit in any case, and taking a model out of service because its
// owner's limit was lowered would be worse than running fewer replicas.
func (x *index) memoryFaults(owner core.OwnerName, replica core.Bytes, replicas int) []Fault {
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

// unservedReason returns why a referenced entry is not in force.
func (x *index) unservedReason(kind core.Kind, name string) string {
	if x.known[id{kind, name}] {
		return "is not in force"
	}
	return notInCatalogue
}

const notInCatalogue = "is not in the catalogue"

// referenceFault returns a fault about another entry.
func referenceFault(check CheckID, key string, kind core.Kind, name, reason string) Fault {
	f := fault(check, key, strconv.Quote(name)+" "+reason)
	f.target = id{kind, name}
	return f
}

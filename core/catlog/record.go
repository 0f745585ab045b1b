package catlog

import (
	"bytes"
	"encoding/json"
	"slices"

	"radishwell/core"
)

// record is the state of one entry.
type record struct {
	id id
	// rank is the index of the kind in resolveOrder.
	rank int
	// changed is set if a newer object has arrived since the last resolve.
	changed bool
	// object is the newest version received; a tombstone if it was deleted.
	object core.Object
	// firstSeen is the version at which the current spec was received first.
	firstSeen core.Version
	// ownFaults are the faults of the current spec alone; crossFaults are those found
	// against other entries in the spec that would be served.
	ownFaults, crossFaults []Fault
	// current is the current spec; nil if the spec fails a check of single entries.
	current *validSpec
	// lastServed is the version served last. served equals lastServed while the entry
	// is served, and is nil otherwise.
	lastServed, served *validSpec
	// statusCurrent is set if the status in the platform is about the current spec.
	// confirmed is then the version that this status names as served last, if any.
	statusCurrent bool
	confirmed     *validSpec
	// reported is the entry's state at the last Report.
	reported summary
	// due is the status to write; nil if the platform has it already.
	due []byte
}

// validSpec is a version of an entry whose spec passes the checks of single entries.
type validSpec struct {
	spec       spec
	version    core.Version
	generation int64
	text       []byte
	// digests are those of an owner's keys, in the order of the spec.
	digests []Digest
	// has is the set of digests.
	has map[Digest]bool
}

func newValidSpec(s spec, version core.Version, generation int64, text []byte) *validSpec {
	vs := &validSpec{spec: s, version: version, generation: generation, text: text}
	if s.kind != core.KindOwner {
		return vs
	}
	vs.has = map[Digest]bool{}
	for _, k := range s.owner.Keys {
		d, _ := ParseDigest(k.Digest)
		vs.digests = append(vs.digests, d)
		vs.has[d] = true
	}
	return vs
}

// update replaces the record's object by a newer one. It reports whether o was
// newer.
func (r *record) update(o core.Object) bool {
	if o.Version <= r.object.Version {
		return false
	}
	old := r.object
	r.object = o
	if o.Deleted || old.UID != o.UID {
		r.current, r.lastServed = nil, nil
	}
	if o.Deleted {
		r.firstSeen, r.ownFaults = o.Version, nil
		r.statusCurrent, r.confirmed = false, nil
		return true
	}
	if old.UID != o.UID || old.Deleted || !bytes.Equal(old.Spec, o.Spec) {
		r.validate()
	}
	r.adoptStatus()
	return true
}

// validate checks a spec that is new to this process.
func (r *record) validate() {
	o := r.object
	r.firstSeen, r.current = o.Version, nil
	s, faults := parseSpec(o.Kind, o.Name, o.Spec)
	r.ownFaults = faults
	if len(faults) == 0 {
		r.current = newValidSpec(s, o.Version, o.Generation, o.Spec)
	}
}

// adoptStatus takes the version served last from the object's status, to which the
// deciding process writes it. Without it, a process that starts after a rejected
// edit would not know the version that all others serve, and a process that missed
// an edit in between would keep an older version.
func (r *record) adoptStatus() {
	r.statusCurrent, r.confirmed = false, nil
	status, ok := ParseStatus(r.object.Status)
	if !ok {
		return
	}
	r.statusCurrent = status.Generation == r.object.Generation
	f := status.InForce
	if f == nil || f.UID != r.object.UID {
		return
	}
	if f.Version >= r.object.Version || f.Generation > r.object.Generation {
		return
	}
	r.confirmed = r.specInForce(f)
	if r.confirmed != nil && (r.lastServed == nil || r.lastServed.generation < f.Generation) {
		r.lastServed = r.confirmed
	}
}

// specInForce returns the version that a status names, or nil if it is invalid for
// this process.
func (r *record) specInForce(f *InForce) *validSpec {
	for _, vs := range []*validSpec{r.current, r.lastServed} {
		if vs == nil || vs.generation != f.Generation || !equalSpecs(vs.text, f.Spec) {
			continue
		}
		// All processes use the version number at which the deciding process received
		// the spec, unless they have already served the spec under another number.
		if vs == r.current && r.firstSeen == r.object.Version {
			vs.version = min(vs.version, f.Version)
		}
		return vs
	}
	s, faults := parseSpec(r.object.Kind, r.object.Name, f.Spec)
	if len(faults) > 0 {
		return nil
	}
	return newValidSpec(s, f.Version, f.Generation, f.Spec)
}

// reserved returns the version whose name and digests no other entry may take. It
// is the version served last according to the deciding process, or according to this
// process if there is no current status. Without the status, a process that received
// two rival entries in another order than the deciding process would serve the wrong
// one forever.
func (r *record) reserved() *validSpec {
	if r.statusCurrent {
		return r.confirmed
	}
	return r.lastServed
}

// equalSpecs reports whether two specs are the same document apart from white space.
func equalSpecs(a, b []byte) bool {
	return bytes.Equal(compact(a), compact(b))
}

// compact removes insignificant white space, so that specs can be compared. It
// returns a text that is not JSON unchanged.
func compact(text []byte) json.RawMessage {
	var b bytes.Buffer
	if json.Compact(&b, text) != nil {
		return text
	}
	return b.Bytes()
}

func (r *record) faults() []Fault { return slices.Concat(r.ownFaults, r.crossFaults) }

// state returns the state of the entry; empty if it is deleted.
func (r *record) state() State {
	switch {
	case r.object.Deleted:
		return ""
	case len(r.ownFaults) > 0:
		return Rejected
	case r.served == nil || r.served != r.current:
		return Pending
	default:
		return Accepted
	}
}

func (r *record) status() Status {
	s := Status{
		State:      r.state(),
		Version:    r.firstSeen,
		Generation: r.object.Generation,
		Faults:     truncateFaults(r.faults()),
	}
	if r.lastServed != nil {
		s.InForce = &InForce{
			UID:        r.object.UID,
			Version:    r.lastServed.version,
			Generation: r.lastServed.generation,
			Spec:       compact(r.lastServed.text),
		}
	}
	return s
}

// statusToWrite returns the status that the platform lacks, or nil if the platform
// has it.
func (r *record) statusToWrite() []byte {
	if r.object.Deleted {
		return nil
	}
	want := r.status()
	if have, ok := ParseStatus(r.object.Status); ok && have.equivalent(want) {
		return nil
	}
	return want.encode()
}

// blocked reports whether any of the faults keeps an entry out of service.
func blocked(faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool {
		c, ok := f.Check.Check()
		return !ok || !c.Advice
	})
}

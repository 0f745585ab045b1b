package catlog

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"sync/atomic"

	"radishwell/core"
)

// View is the catalogue as one process holds it. The zero value is an empty
// catalogue. Apply and Due belong to one writer; Snapshot is for any reader.
type View struct {
	records  map[id]*record
	revision uint64
	now      atomic.Pointer[Snapshot]
}

// id names an entry.
type id struct {
	kind core.Kind
	name string
}

func compareIDs(a, b id) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// record is what is known of one entry.
type record struct {
	// object is the newest version met; a tombstone where it was deleted.
	object core.Object
	// met is the version at which the object's present spec was met first.
	met core.Version
	// own are the faults of the present spec by itself.
	own []Fault
	// good is the last good version, nil where there is none.
	good *good
	// cross are the faults against other entries, worked out by resolve.
	cross []Fault
	// state is how the entry stood at the last Report.
	state State
	// served is the version in force at the last Report, zero for none.
	served core.Version
}

// good is a checked spec.
type good struct {
	spec       spec
	uid        string
	version    core.Version
	generation int64
	text       []byte
}

// Report tells how an entry stands after a change. It is returned for entries
// whose standing has changed, those that another entry's change has touched too.
type Report struct {
	Kind    core.Kind
	Name    string
	State   State
	Version core.Version
	// Served is the version in force; zero where none is served.
	Served core.Version
	// Deleted tells that the entry is gone.
	Deleted bool
	Faults  []Fault
}

// Snapshot returns the catalogue in force. It is never nil.
func (v *View) Snapshot() *Snapshot {
	if s := v.now.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Apply takes objects of the platform in any order, from watch, list or peers,
// and returns a Report for each entry whose standing has changed, by kind and
// name. Objects that are not newer than what is known, and kinds that are not of
// the catalogue, are passed over.
func (v *View) Apply(objects ...core.Object) []Report {
	if v.records == nil {
		v.records = map[id]*record{}
	}
	touched := map[id]bool{}
	for _, o := range objects {
		if _, ok := newSpec(o.Kind, o.Name); !ok {
			continue
		}
		if v.take(o) {
			touched[id{o.Kind, o.Name}] = true
		}
	}
	if len(touched) == 0 {
		return nil
	}
	return v.resolve(touched)
}

// take brings one record up to an object and tells whether that was newer.
func (v *View) take(o core.Object) bool {
	at := id{o.Kind, o.Name}
	r := v.records[at]
	if r == nil {
		r = &record{}
		v.records[at] = r
	} else if o.Version <= r.object.Version {
		return false
	}
	old := r.object
	r.object = o
	switch {
	case o.Deleted:
		r.met, r.own, r.good = o.Version, nil, nil
	case old.UID == o.UID && !old.Deleted && old.Version > 0 && bytes.Equal(old.Spec, o.Spec):
		r.adopt()
	default:
		r.judge(old.UID)
	}
	return true
}

// judge checks a spec that is new to the process.
func (r *record) judge(oldUID string) {
	o := r.object
	if oldUID != o.UID {
		r.good = nil
	}
	r.met = o.Version
	s, faults := parseSpec(o.Kind, o.Name, o.Spec)
	r.own = faults
	if len(faults) == 0 {
		r.good = &good{spec: s, uid: o.UID, version: o.Version, generation: o.Generation, text: o.Spec}
		return
	}
	r.adopt()
}

// adopt takes the last good version from the object's status, where a process
// that saw it left it there. Without it, a process that starts after a rejected
// edit would not know the entry that all others serve.
func (r *record) adopt() {
	if len(r.own) == 0 {
		return
	}
	status, ok := ParseStatus(r.object.Status)
	if !ok || status.InForce == nil || status.InForce.UID != r.object.UID {
		return
	}
	f := status.InForce
	if f.Version >= r.object.Version || r.good != nil && r.good.generation >= f.Generation {
		return
	}
	s, faults := parseSpec(r.object.Kind, r.object.Name, f.Spec)
	if len(faults) > 0 {
		return
	}
	r.good = &good{spec: s, uid: f.UID, version: f.Version, generation: f.Generation, text: f.Spec}
}

// Due returns the entries whose status in the platform does not say how they
// stand, with the status that should be written, by kind and name. Only one
// process should write them: the one that decides for the fleet.
func (v *View) Due() []core.Object {
	var due []core.Object
	for _, at := range v.order() {
		r := v.records[at]
		if r.object.Deleted {
			continue
		}
		want := r.status()
		if have, ok := ParseStatus(r.object.Status); ok && have.same(want) {
			continue
		}
		o := r.object
		o.Status = want.encode()
		due = append(due, o)
	}
	return due
}

// Status returns the status document of an entry as this process sees it.
func (v *View) Status(kind core.Kind, name string) (Status, bool) {
	r := v.records[id{kind, name}]
	if r == nil || r.object.Deleted {
		return Status{}, false
	}
	return r.status(), true
}

func (r *record) status() Status {
	s := Status{
		State:      r.standing(),
		Version:    r.met,
		Generation: r.object.Generation,
		Faults:     r.faults(),
	}
	if r.good != nil {
		s.InForce = &InForce{
			UID:        r.good.uid,
			Version:    r.good.version,
			Generation: r.good.generation,
			Spec:       compact(r.good.text),
		}
	}
	return s
}

// compact drops white space, so that specs compare by their content.
func compact(text []byte) json.RawMessage {
	var b bytes.Buffer
	if json.Compact(&b, text) != nil {
		return text
	}
	return b.Bytes()
}

func (r *record) faults() []Fault { return slices.Concat(r.own, r.cross) }

// standing returns the entry's state.
func (r *record) standing() State {
	switch {
	case len(r.own) > 0:
		return Rejected
	case blocked(r.cross):
		return Pending
	default:
		return Accepted
	}
}

// inForce tells whether the entry's good version is served.
func (r *record) inForce() bool { return r.good != nil && !blocked(r.cross) }

// blocked tells whether any fault keeps an entry out of service.
func blocked(faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool {
		c, ok := f.Check.Check()
		return !ok || !c.Advice
	})
}

// order lists the entries by kind and name.
func (v *View) order() []id {
	all := make([]id, 0, len(v.records))
	for at := range v.records {
		all = append(all, at)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

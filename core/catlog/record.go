package catlog

import (
	"bytes"
	"encoding/json"
	"slices"

	"radishwell/core"
)

// record is what is known of one entry.
type record struct {
	at id
	// rank is the place of the kind in resolveOrder.
	rank int
	// touched tells that a newer object has come since the last resolve.
	touched bool
	// object is the newest version met; a tombstone where it was deleted.
	object core.Object
	// met is the version at which the object's present spec was met first.
	met core.Version
	// own are the faults of the present spec by itself, cross those of the spec
	// that would be served against other entries.
	own, cross []Fault
	// newest is the present spec if it is good by itself.
	newest *good
	// last is the version served last, and chosen is last if it is served now.
	last, chosen *good
	// settled tells that the status in the platform is about the present spec;
	// confirmed is then the version that it says was served last, if any.
	settled   bool
	confirmed *good
	// stood is how the entry stood at the last Report.
	stood standing
	// due is the status to be written; nil where the platform has it.
	due []byte
}

// good is a spec that passes the checks of single entries.
type good struct {
	spec       spec
	version    core.Version
	generation int64
	text       []byte
	// digests are those of an owner's keys, in their order, and as a set.
	digests []Digest
	has     map[Digest]bool
}

func newGood(s spec, version core.Version, generation int64, text []byte) *good {
	g := &good{spec: s, version: version, generation: generation, text: text}
	if s.kind != core.KindOwner {
		return g
	}
	g.has = map[Digest]bool{}
	for _, k := range s.owner.Keys {
		d, _ := ParseDigest(k.Digest)
		g.digests = append(g.digests, d)
		g.has[d] = true
	}
	return g
}

// take brings the record up to an object and tells whether that was newer.
func (r *record) take(o core.Object) bool {
	if o.Version <= r.object.Version {
		return false
	}
	old := r.object
	r.object = o
	if o.Deleted || old.UID != o.UID {
		r.newest, r.last = nil, nil
	}
	if o.Deleted {
		r.met, r.own = o.Version, nil
		r.settled, r.confirmed = false, nil
		return true
	}
	if old.UID != o.UID || old.Deleted || !bytes.Equal(old.Spec, o.Spec) {
		r.judge()
	}
	r.adopt()
	return true
}

// judge checks a spec that is new to the process.
func (r *record) judge() {
	o := r.object
	r.met, r.newest = o.Version, nil
	s, faults := parseSpec(o.Kind, o.Name, o.Spec)
	r.own = faults
	if len(faults) == 0 {
		r.newest = newGood(s, o.Version, o.Generation, o.Spec)
	}
}

// adopt takes the version served last from the object's status, where the process
// that decides for the fleet has put it. Without it a process that starts after a
// rejected edit would not know the entry that all others serve, and one that
// missed an edit in between would hold on to an older version.
func (r *record) adopt() {
	r.settled, r.confirmed = false, nil
	status, ok := ParseStatus(r.object.Status)
	if !ok {
		return
	}
	r.settled = status.Generation == r.object.Generation
	f := status.InForce
	if f == nil || f.UID != r.object.UID {
		return
	}
	if f.Version >= r.object.Version || f.Generation > r.object.Generation {
		return
	}
	r.confirmed = r.goodOf(f)
	if r.confirmed != nil && (r.last == nil || r.last.generation < f.Generation) {
		r.last = r.confirmed
	}
}

// goodOf returns the version that a status names, nil where it is invalid here.
func (r *record) goodOf(f *InForce) *good {
	for _, g := range []*good{r.newest, r.last} {
		if g == nil || g.generation != f.Generation || !sameText(g.text, f.Spec) {
			continue
		}
		// All processes name a version by the number at which the deciding one met
		// it, but for those that have served it under another number already.
		if g == r.newest && r.met == r.object.Version {
			g.version = min(g.version, f.Version)
		}
		return g
	}
	s, faults := parseSpec(r.object.Kind, r.object.Name, f.Spec)
	if len(faults) > 0 {
		return nil
	}
	return newGood(s, f.Version, f.Generation, f.Spec)
}

// holder returns the version whose names and digests the entry keeps against
// others: the one served last, by the word of the deciding process where there is
// one. Else a process that met two rivals in the other order than the deciding one
// would serve the wrong one for good.
func (r *record) holder() *good {
	if r.settled {
		return r.confirmed
	}
	return r.last
}

// sameText tells whether two specs are the same document but for white space.
func sameText(a, b []byte) bool {
	return bytes.Equal(compact(a), compact(b))
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

// state returns how the entry stands; a deleted one has no state.
func (r *record) state() State {
	switch {
	case r.object.Deleted:
		return ""
	case len(r.own) > 0:
		return Rejected
	case r.chosen == nil || r.chosen != r.newest:
		return Pending
	default:
		return Accepted
	}
}

func (r *record) status() Status {
	s := Status{
		State:      r.state(),
		Version:    r.met,
		Generation: r.object.Generation,
		Faults:     clipFaults(r.faults()),
	}
	if r.last != nil {
		s.InForce = &InForce{
			UID:        r.object.UID,
			Version:    r.last.version,
			Generation: r.last.generation,
			Spec:       compact(r.last.text),
		}
	}
	return s
}

// dueStatus returns the status that the platform lacks, or nil.
func (r *record) dueStatus() []byte {
	if r.object.Deleted {
		return nil
	}
	want := r.status()
	if have, ok := ParseStatus(r.object.Status); ok && have.same(want) {
		return nil
	}
	return want.encode()
}

// blocked tells whether any fault keeps an entry out of service.
func blocked(faults []Fault) bool {
	return slices.ContainsFunc(faults, func(f Fault) bool {
		c, ok := f.Check.Check()
		return !ok || !c.Advice
	})
}

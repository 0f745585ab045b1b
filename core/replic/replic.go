package replic

import (
	"cmp"
	"slices"
	"strings"

	"radishwell/core"
)

// DefaultTombstones is the bound on tombstones where none is set: a wave of
// deletions as large as the largest catalogue (3,470 models and adapters)
// still reaches peers as changes. A tombstone takes about 200 bytes.
const DefaultTombstones = 4096

// Replica is the replica of one kind. The zero value is empty and ready. It is
// not safe for concurrent use.
type Replica struct {
	// Tombstones bounds how many are kept; zero stands for DefaultTombstones.
	Tombstones int

	byName  map[string]core.Object
	through core.Version
	// horizon is the lowest version from which Since can tell all deletions.
	horizon core.Version
	// newest is the largest version of any object or tombstone.
	newest core.Version
	dead   int
}

// Through returns the version up to which the replica misses nothing; zero
// before the first complete delta.
func (r *Replica) Through() core.Version { return r.through }

// Horizon returns the version below which Since returns full deltas.
func (r *Replica) Horizon() core.Version { return r.horizon }

// Newest returns the largest version of any object or tombstone ever held. It
// grows with changes only, where Through grows with bookmarks too.
func (r *Replica) Newest() core.Version { return r.newest }

// Len returns the number of objects, tombstones not counted.
func (r *Replica) Len() int { return len(r.byName) - r.dead }

// Get returns the object of a name; false where there is none.
func (r *Replica) Get(name string) (core.Object, bool) {
	o, ok := r.byName[name]
	return o, ok && !o.Deleted
}

// All returns all objects in the order of their names.
func (r *Replica) All() []core.Object {
	objects := make([]core.Object, 0, r.Len())
	for _, o := range r.byName {
		if !o.Deleted {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, byName)
	return objects
}

// Join takes in a delta from any source and returns the new state of each
// object that changed by it, deletions included, in the order of their names.
func (r *Replica) Join(d Delta) []core.Object {
	if r.byName == nil {
		r.byName = map[string]core.Object{}
	}
	changed := map[string]bool{}
	newer := d.Full && d.Through > r.through
	for _, o := range d.Objects {
		if r.put(o, newer) {
			changed[o.Name] = true
		}
	}
	if newer {
		r.deleteUnnamed(d, changed)
	}
	r.advance(d)
	notes := r.notes(changed)
	r.dropTombstones()
	return notes
}

// put joins one object and tells whether it changed what is held.
//
// An object at or below the through mark that is newer than what is held comes
// from a source that has not seen its deletion, while the tombstone here is
// dropped or was never needed. Taking it in would bring a deleted object back
// to life. The guard holds because a replica has the last state of everything
// through its mark. A full delta newer than the mark is itself such a complete
// state, and is taken at its word.
func (r *Replica) put(o core.Object, newer bool) bool {
	held, ok := r.byName[o.Name]
	if ok && held.Version >= o.Version {
		return false
	}
	if o.Version <= r.through && !newer {
		return false
	}
	if o.Deleted {
		o.Spec, o.Status = nil, nil
	}
	r.byName[o.Name] = o
	r.newest = max(r.newest, o.Version)
	r.dead += toInt(o.Deleted) - toInt(ok && held.Deleted)
	return ok && !held.Deleted || !o.Deleted
}

// deleteUnnamed deletes what a full delta no longer has. The true version of
// each deletion is not known; it is at most d.Through, and a creation of the
// same name after it would be later than d.Through or named in the delta.
func (r *Replica) deleteUnnamed(d Delta, changed map[string]bool) {
	named := make(map[string]bool, len(d.Objects))
	for _, o := range d.Objects {
		named[o.Name] = true
	}
	for name, held := range r.byName {
		if held.Deleted || named[name] || held.Version > d.Through {
			continue
		}
		r.byName[name] = core.Object{
			Kind:    held.Kind,
			Name:    name,
			UID:     held.UID,
			Version: d.Through,
			Deleted: true,
		}
		r.newest = max(r.newest, d.Through)
		r.dead++
		changed[name] = true
	}
}

// advance moves the through mark if the delta joins on to it. After a full
// delta nothing is known of objects that were both created and deleted since
// the old mark, so that a requester from between needs a full delta as well.
func (r *Replica) advance(d Delta) {
	if d.Through <= r.through {
		return
	}
	if d.Full {
		r.horizon = max(r.horizon, d.Through)
		r.through = d.Through
		return
	}
	if d.From <= r.through {
		r.through = d.Through
	}
}

func (r *Replica) notes(changed map[string]bool) []core.Object {
	if len(changed) == 0 {
		return nil
	}
	notes := make([]core.Object, 0, len(changed))
	for name := range changed {
		notes = append(notes, r.byName[name])
	}
	slices.SortFunc(notes, byName)
	return notes
}

// dropTombstones drops the oldest tombstones beyond the bound, a quarter of the
// bound at a time so that the sorting is paid for rarely. A tombstone above
// the through mark stays: only it keeps the object's older states out.
func (r *Replica) dropTombstones() {
	bound := r.Tombstones
	if bound <= 0 {
		bound = DefaultTombstones
	}
	if r.dead <= bound {
		return
	}
	var old []core.Object
	for _, o := range r.byName {
		if o.Deleted && o.Version <= r.through {
			old = append(old, o)
		}
	}
	slices.SortFunc(old, byVersion)
	n := min(len(old), r.dead-bound+bound/4)
	for _, o := range old[:n] {
		delete(r.byName, o.Name)
		r.dead--
		r.horizon = max(r.horizon, o.Version)
	}
}

// Since returns what a requester lacks that has everything through v. Its cost
// is that of one pass over the replica, but nothing where v is up to date.
func (r *Replica) Since(v core.Version) Delta {
	d := Delta{From: v, Through: max(v, r.through)}
	d.Full = v < r.horizon || v == 0 && r.through > 0
	if !d.Full && v >= r.newest {
		return d
	}
	for _, o := range r.byName {
		if d.Full && o.Deleted && o.Version <= r.through {
			continue
		}
		if d.Full || o.Version > v {
			d.Objects = append(d.Objects, o)
		}
	}
	slices.SortFunc(d.Objects, byVersion)
	return d
}

func byName(a, b core.Object) int { return strings.Compare(a.Name, b.Name) }

func byVersion(a, b core.Object) int {
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

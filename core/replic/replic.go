package replic

import (
	"cmp"
	"slices"
	"strings"

	"radishwell/core"
)

// DefaultTombstones is the default bound on tombstones. It allows the deletion of the
// largest catalogue (3,470 models and adapters) to reach peers as changes. A tombstone
// takes about 200 bytes.
const DefaultTombstones = 4096

// Replica is the replica of one kind. The zero value is empty and ready for use. It is not
// safe for concurrent use.
type Replica struct {
	// Tombstones is the maximum number of tombstones, DefaultTombstones if it is zero.
	Tombstones int

	byName  map[string]core.Object
	through core.Version
	// horizon is the lowest version from which Since can return all deletions.
	horizon core.Version
	// newest is the highest version of any object or tombstone.
	newest         core.Version
	tombstoneCount int
}

// Through returns the version up to which the replica is complete, zero before the first
// complete delta.
func (r *Replica) Through() core.Version { return r.through }

// Horizon returns the version below which Since returns full deltas.
func (r *Replica) Horizon() core.Version { return r.horizon }

// Newest returns the highest version that any object or tombstone has had. Unlike Through,
// it does not increase with bookmarks.
func (r *Replica) Newest() core.Version { return r.newest }

// Len returns the number of objects, not counting tombstones.
func (r *Replica) Len() int { return len(r.byName) - r.tombstoneCount }

// Get returns the object with a name, false if there is none.
func (r *Replica) Get(name string) (core.Object, bool) {
	o, ok := r.byName[name]
	return o, ok && !o.Deleted
}

// All returns all objects, sorted by name.
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

// Join merges a delta from any source and returns the new state of each object that it
// changed, including deletions, sorted by name.
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
	changes := r.changes(changed)
	r.dropTombstones()
	return changes
}

// put merges one object and reports whether it changed the visible state.
//
// An object at or below the through mark that is newer than the held one comes from a
// source that has not seen its deletion, while the tombstone here has been dropped or was
// never needed. Merging it would restore a deleted object. The check is correct because a
// replica has the latest state of everything through its mark. A full delta beyond the mark
// is itself such a complete state and is accepted as it is.
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
	r.tombstoneCount += core.CountIf(o.Deleted) - core.CountIf(ok && held.Deleted)
	return ok && !held.Deleted || !o.Deleted
}

// deleteUnnamed deletes the objects that a full delta no longer contains. The actual
// version of each deletion is unknown, but it is at most d.Through. If the name has been
// created again since, that object is later than d.Through or listed in the delta.
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
		r.tombstoneCount++
		changed[name] = true
	}
}

// advance moves the through mark if the delta connects to it. After a full delta, objects
// that were both created and deleted since the old mark are unknown, so a requester in
// between needs a full delta as well.
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

func (r *Replica) changes(changed map[string]bool) []core.Object {
	if len(changed) == 0 {
		return nil
	}
	changes := make([]core.Object, 0, len(changed))
	for name := range changed {
		changes = append(changes, r.byName[name])
	}
	slices.SortFunc(changes, byName)
	return changes
}

// dropTombstones drops the oldest tombstones beyond the bound, a quarter of the bound at a
// time to amortize the cost of sorting. A tombstone above the through mark is kept, since
// nothing else rejects older states of the object.
func (r *Replica) dropTombstones() {
	bound := r.Tombstones
	if bound <= 0 {
		bound = DefaultTombstones
	}
	if r.tombstoneCount <= bound {
		return
	}
	var old []core.Object
	for _, o := range r.byName {
		if o.Deleted && o.Version <= r.through {
			old = append(old, o)
		}
	}
	slices.SortFunc(old, byVersion)
	n := min(len(old), r.tombstoneCount-bound+bound/4)
	for _, o := range old[:n] {
		delete(r.byName, o.Name)
		r.tombstoneCount--
		r.horizon = max(r.horizon, o.Version)
	}
}

// Since returns the changes for a requester that is complete through v. It takes one pass
// over the replica, or constant time if v is up to date.
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

package catlog

import (
	"cmp"
	"slices"
	"sync/atomic"

	"radishwell/core"
)

// View is one process's copy of the catalogue. The zero value is an empty catalogue.
// Snapshot is safe for concurrent use; all other methods must be called by a single
// goroutine at a time.
type View struct {
	records map[id]*record
	// sorted holds the records in the order in which they are resolved: by kind in
	// resolveOrder, then by name.
	sorted   []*record
	revision uint64
	latest   atomic.Pointer[Snapshot]
}

// id identifies an entry.
type id struct {
	kind core.Kind
	name string
}

// resolveOrder lists the kinds so that each follows those it depends on: adapters
// depend on models, models on services, and all on owners.
var resolveOrder = []core.Kind{core.KindOwner, core.KindService, core.KindModel, core.KindAdapter}

func compareRecords(a, b *record) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id.name, b.id.name))
}

// Report describes the state of an entry after a change of this entry or of one that
// it refers to.
type Report struct {
	Kind    core.Kind
	Name    string
	State   State
	Version core.Version
	// Served is the version in force; zero if none is.
	Served core.Version
	// Deleted is set if the entry was deleted.
	Deleted bool
	Faults  []Fault
}

// Snapshot returns the catalogue in force. It is never nil.
func (v *View) Snapshot() *Snapshot {
	if s := v.latest.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Apply updates the catalogue from objects of the platform, which may come in any
// order from a watch, a list or peers. It returns a Report for each entry whose state
// has changed: owners, services, models, adapters, each sorted by name. Apply ignores
// objects that are not newer than the known version and objects of other kinds. A
// process that starts should apply all kinds in one call; otherwise entries are
// pending in between.
func (v *View) Apply(objects ...core.Object) []Report {
	if v.records == nil {
		v.records = map[id]*record{}
	}
	newer, added := false, false
	for _, o := range objects {
		rank := slices.Index(resolveOrder, o.Kind)
		if rank < 0 {
			continue
		}
		at := id{o.Kind, o.Name}
		r := v.records[at]
		if r == nil {
			r = &record{id: at, rank: rank}
			v.records[at] = r
			v.sorted = append(v.sorted, r)
			added = true
		}
		if r.update(o) {
			r.changed, newer = true, true
		}
	}
	if added {
		slices.SortFunc(v.sorted, compareRecords)
	}
	if !newer {
		return nil
	}
	return v.resolve()
}

// DueStatuses returns the entries whose status in the platform is out of date, with the
// status to write, in the order of Apply's reports. Only the process that decides for
// the fleet should write them, once it has received all kinds.
func (v *View) DueStatuses() []core.Object {
	var due []core.Object
	for _, r := range v.sorted {
		if r.due == nil {
			continue
		}
		o := r.object
		o.Status = r.due
		due = append(due, o)
	}
	return due
}

// Count returns the number of entries in a state.
func (v *View) Count(state State) int {
	n := 0
	for _, r := range v.records {
		if !r.object.Deleted && r.state() == state {
			n++
		}
	}
	return n
}

// Status returns the status document of an entry as this process sees it.
func (v *View) Status(kind core.Kind, name string) (Status, bool) {
	r := v.records[id{kind, name}]
	if r == nil || r.object.Deleted {
		return Status{}, false
	}
	return r.status(), true
}

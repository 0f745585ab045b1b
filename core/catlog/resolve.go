package catlog

import (
	"slices"

	"radishwell/core"
)

// resolve recomputes which entries are in force, from the current valid version and
// the last served version of each entry only. It runs once for each batch of
// changes.
func (v *View) resolve() []Report {
	x := newIndex()
	for _, r := range v.sorted {
		x.addRecord(r)
	}
	owners := 0
	for i, r := range v.sorted {
		// Owners are checked against other owners, so all of them must be in the index.
		if r.id.kind == core.KindOwner {
			owners = i + 1
		} else if i == owners {
			v.checkOwners(x, owners)
		}
		r.choose(x)
	}
	if owners == len(v.sorted) {
		v.checkOwners(x, owners)
	}
	reports := v.reports()
	if len(reports) > 0 {
		v.revision++
		v.latest.Store(v.snapshot())
	}
	return reports
}

// choose selects the version of an entry that is in force: the current valid one, or
// else the one this process served last, or else the one that the deciding process
// names as served last. The last two differ only if this process received the
// entries in another order. A replaced version can therefore come back into force
// only if the deciding process says so, and then in all processes.
func (r *record) choose(x *index) {
	r.crossFaults, r.served = nil, nil
	for _, vs := range []*validSpec{r.current, r.lastServed, r.reserved()} {
		if vs == nil {
			continue
		}
		faults := x.faults(r, vs)
		if r.crossFaults == nil {
			r.crossFaults = faults
		}
		if !blocked(faults) {
			r.lastServed, r.served = vs, vs
			x.addServed(vs)
			return
		}
	}
}

// checkOwners checks the first owners records, which are the owners, against each
// other.
func (v *View) checkOwners(x *index, owners int) {
	for _, r := range v.sorted[:owners] {
		// A pending edit keeps its faults, which explain why it is pending.
		if r.served != nil && (r.current == nil || r.served == r.current) {
			r.crossFaults = x.faults(r, r.served)
		}
	}
}

// reports returns a Report for each entry whose summary has changed since its last
// Report, and updates which statuses are due.
func (v *View) reports() []Report {
	var out []Report
	for _, r := range v.sorted {
		now := r.summarize()
		differs := !now.equal(r.reported)
		if !r.changed && !differs {
			continue
		}
		r.changed, r.reported = false, now
		r.due = r.statusToWrite()
		if differs {
			out = append(out, r.report())
		}
	}
	return out
}

// summary is the part of a Report that decides whether there is a new one.
type summary struct {
	state  State
	served core.Version
	// spec is the version at which the current spec was received first.
	spec   core.Version
	faults []Fault
}

func (s summary) equal(o summary) bool {
	return s.state == o.state && s.served == o.served && s.spec == o.spec && slices.Equal(s.faults, o.faults)
}

func (r *record) summarize() summary {
	s := summary{state: r.state(), spec: r.firstSeen, faults: r.faults()}
	if r.served != nil {
		s.served = r.served.version
	}
	return s
}

func (r *record) report() Report {
	return Report{
		Kind:    r.id.kind,
		Name:    r.id.name,
		State:   r.reported.state,
		Version: r.object.Version,
		Served:  r.reported.served,
		Deleted: r.object.Deleted,
		Faults:  r.reported.faults,
	}
}

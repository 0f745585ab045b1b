package catlog

import (
	"slices"

	"radishwell/core"
)

// resolve works out anew which entries are in force, from nothing but the newest
// good and the last served version of each. It runs once for each batch of changes.
func (v *View) resolve() []Report {
	x := newIndex()
	for _, r := range v.sorted {
		x.note(r)
	}
	owners := 0
	for i, r := range v.sorted {
		// Faults of owners are about other owners: they need all of them.
		if r.at.kind == core.KindOwner {
			owners = i + 1
		} else if i == owners {
			v.holdOwners(x, owners)
		}
		r.choose(x)
	}
	if owners == len(v.sorted) {
		v.holdOwners(x, owners)
	}
	reports := v.reports()
	if len(reports) > 0 {
		v.revision++
		v.now.Store(v.snapshot())
	}
	return reports
}

// choose sets which version of an entry is in force: the newest good one, or else
// the one served before, or else the one that the deciding process says was. The
// last two differ only where this process met the entries in another order. So a
// version that was replaced in force comes back only by the word of the deciding
// process, and then in all processes.
func (r *record) choose(x *index) {
	r.cross, r.chosen = nil, nil
	for _, g := range []*good{r.newest, r.last, r.holder()} {
		if g == nil {
			continue
		}
		faults := x.faults(r, g)
		if r.cross == nil {
			r.cross = faults
		}
		if !blocked(faults) {
			r.last, r.chosen = g, g
			x.add(g)
			return
		}
	}
}

func (v *View) holdOwners(x *index, owners int) {
	for _, r := range v.sorted[:owners] {
		// A pending edit keeps its own faults: they tell why it is pending.
		if r.chosen != nil && (r.newest == nil || r.chosen == r.newest) {
			r.cross = x.faults(r, r.chosen)
		}
	}
}

// reports returns the entries whose standing has changed, remembers it, and works
// out whose status is due.
func (v *View) reports() []Report {
	var out []Report
	for _, r := range v.sorted {
		now := r.stand()
		changed := !now.equal(r.stood)
		if !r.touched && !changed {
			continue
		}
		r.touched, r.stood = false, now
		r.due = r.dueStatus()
		if changed {
			out = append(out, r.report())
		}
	}
	return out
}

// standing is what a Report tells of an entry.
type standing struct {
	state  State
	served core.Version
	// spec is the version whose spec was judged.
	spec   core.Version
	faults []Fault
}

func (s standing) equal(o standing) bool {
	return s.state == o.state && s.served == o.served && s.spec == o.spec && slices.Equal(s.faults, o.faults)
}

func (r *record) stand() standing {
	s := standing{state: r.state(), spec: r.met, faults: r.faults()}
	if r.chosen != nil {
		s.served = r.chosen.version
	}
	return s
}

func (r *record) report() Report {
	return Report{
		Kind:    r.at.kind,
		Name:    r.at.name,
		State:   r.stood.state,
		Version: r.object.Version,
		Served:  r.stood.served,
		Deleted: r.object.Deleted,
		Faults:  r.stood.faults,
	}
}

package demand

import (
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
)

// waitingTTL is the maximum age of an entry's report on its waiting requests. Entries
// report several times a second.
const waitingTTL = 1500 * time.Millisecond

// Fleet holds the demand at all entries, as reported to a relay. The zero Fleet is ready
// for use. It is not safe for concurrent use.
type Fleet struct {
	models map[core.ModelName]*rates
	waits  map[core.HostName]waitCounts
}

// Waits are the requests that wait for a model.
type Waits struct {
	Count int
	// Continuing lists, sorted, the software versions at which those wait that continue streams.
	Continuing []core.SoftwareVersion
}

// add returns the sum of two numbers of requests that wait for the same model.
func (w Waits) add(other Waits) Waits {
	return Waits{Count: w.Count + other.Count, Continuing: copies.MergeVersions(w.Continuing, other.Continuing)}
}

// waitCounts holds the waiting requests at one entry, by model.
type waitCounts struct {
	at     time.Time
	models map[core.ModelName]Waits
}

// Add records arrivals.
func (f *Fleet) Add(now time.Time, arrivals map[core.ModelName]Arrivals) {
	if f.models == nil {
		f.models = map[core.ModelName]*rates{}
	}
	for name, a := range arrivals {
		r := f.models[name]
		if r == nil {
			r = &rates{}
			f.models[name] = r
		}
		r.add(now, a)
	}
}

// SetWaiting records the waiting requests at an entry, or at all entries that report to it. It
// reports whether any of the models had none there before, or none at a software version.
func (f *Fleet) SetWaiting(now time.Time, entry core.HostName, models map[core.ModelName]Waits) (news bool) {
	if f.waits == nil {
		f.waits = map[core.HostName]waitCounts{}
	}
	for name, w := range models {
		before := f.waits[entry].models[name]
		isNew := func(v core.SoftwareVersion) bool { return !slices.Contains(before.Continuing, v) }
		news = news || before.Count == 0 || slices.ContainsFunc(w.Continuing, isNew)
	}
	f.waits[entry] = waitCounts{at: now, models: models}
	return news
}

// Waiting returns the waiting requests by model, summed over the entries that counts accepts.
func (f *Fleet) Waiting(now time.Time, counts func(entry core.HostName) bool) map[core.ModelName]Waits {
	out := map[core.ModelName]Waits{}
	for entry, w := range f.waits {
		if now.Sub(w.at) > waitingTTL {
			delete(f.waits, entry)
			continue
		}
		if !counts(entry) {
			continue
		}
		for name, n := range w.models {
			out[name] = out[name].add(n)
		}
	}
	return out
}

// All returns the demand by model, and forgets models without demand.
func (f *Fleet) All(now time.Time) map[core.ModelName]copies.Demand {
	waiting := f.Waiting(now, func(core.HostName) bool { return true })
	out := make(map[core.ModelName]copies.Demand, len(f.models))
	for name, r := range f.models {
		d, ok := r.demand(now, waiting[name].Count)
		if !ok {
			delete(f.models, name)
			continue
		}
		d.Continuing = waiting[name].Continuing
		out[name] = d
	}
	for name, w := range waiting {
		if _, known := out[name]; !known {
			out[name] = copies.Demand{Waiting: w.Count, Continuing: w.Continuing}
		}
	}
	return out
}

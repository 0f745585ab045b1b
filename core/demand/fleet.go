package demand

import (
	"time"

	"radishwell/core"
	"radishwell/core/copies"
)

// waitingAge is how old an entry's word on the requests that wait there may be. Entries
// tell several times a second.
const waitingAge = 1500 * time.Millisecond

// Fleet is the demand of all entries as a relay hears it. The zero Fleet is ready for
// use; it is not safe for use by several goroutines.
type Fleet struct {
	models map[core.ModelName]*rates
	waits  map[core.HostName]waits
}

// waits are the requests that wait at one entry, by model.
type waits struct {
	at     time.Time
	models map[core.ModelName]int
}

// Add takes in arrivals.
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

// Wait takes in the requests that wait at an entry, or at all that tell it, and tells
// whether there are models among them for which none waited there before.
func (f *Fleet) Wait(now time.Time, entry core.HostName, models map[core.ModelName]int) (news bool) {
	if f.waits == nil {
		f.waits = map[core.HostName]waits{}
	}
	for name := range models {
		news = news || f.waits[entry].models[name] == 0
	}
	f.waits[entry] = waits{at: now, models: models}
	return news
}

// Waiting returns how many requests wait for each model, by the word of some entries.
func (f *Fleet) Waiting(now time.Time, counts func(entry core.HostName) bool) map[core.ModelName]int {
	out := map[core.ModelName]int{}
	for entry, w := range f.waits {
		if now.Sub(w.at) > waitingAge {
			delete(f.waits, entry)
			continue
		}
		if !counts(entry) {
			continue
		}
		for name, n := range w.models {
			out[name] += n
		}
	}
	return out
}

// All returns the demand for all models that are asked for.
func (f *Fleet) All(now time.Time) map[core.ModelName]copies.Demand {
	waiting := f.Waiting(now, func(core.HostName) bool { return true })
	out := make(map[core.ModelName]copies.Demand, len(f.models))
	for name, r := range f.models {
		d, ok := r.demand(now, waiting[name])
		if !ok {
			delete(f.models, name)
			continue
		}
		out[name] = d
	}
	for name, n := range waiting {
		if _, known := out[name]; !known {
			out[name] = copies.Demand{Waiting: n}
		}
	}
	return out
}

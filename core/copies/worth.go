package copies

import (
	"cmp"
	"math"
	"slices"

	"radishwell/core"
)

// worth returns what the nth copy of a model is worth, in requests a second
// that it serves in their target.
func (w *plan) worth(name core.ModelName, nth int) float64 {
	d := w.demand[name]
	first := silentWorth + d.Rate
	if len(w.near[name]) > 0 {
		first = silentWorth + d.Hasty + (d.Rate-d.Hasty)*swapWorth
	}
	if nth <= 1 {
		return first + float64(d.Waiting)*waitingWorth
	}
	if len(w.demand) == 0 && nth <= startCopies && nth <= w.copies[name] {
		return first
	}
	before, after := timely(d.Work/float64(nth-1)), timely(d.Work/float64(nth))
	return d.Rate*(after-before) + first*math.Pow(furtherWorth, float64(nth-1))
}

// timely returns the part of the requests of engines that each have a load that is
// served in time. Past fullLoad they serve what they can, so that a further copy
// is worth something however much too few there are.
func timely(load float64) float64 {
	switch {
	case load <= easyLoad:
		return 1
	case load <= fullLoad:
		return 1 - (1-fullShare)*(load-easyLoad)/(fullLoad-easyLoad)
	default:
		return fullShare * fullLoad / load
	}
}

// ranked is a model with the worth of its next copy.
type ranked struct {
	name  core.ModelName
	worth float64
}

// compareRanked puts the models whose next copy is worth most first.
func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.name, b.name))
}

// wanted returns the models that are asked for here, those whose next copy is worth
// most first.
func (w *plan) wanted(here func(core.ModelName) bool) []ranked {
	out := make([]ranked, 0, len(w.service.Models))
	for name := range w.service.Models {
		if here(name) {
			out = append(out, ranked{name: name, worth: w.worth(name, w.copies[name]+1)})
		}
	}
	slices.SortFunc(out, compareRanked)
	return out
}

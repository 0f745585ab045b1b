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
	if w.onDisk[name] {
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

// wanted returns the models whose next copy is worth most, most first.
func (w *plan) wanted() []core.ModelName {
	names := make([]core.ModelName, 0, len(w.service.Models))
	for name := range w.service.Models {
		names = append(names, name)
	}
	w.sort(names)
	return names
}

// sort puts the models whose next copy is worth most first.
func (w *plan) sort(names []core.ModelName) {
	slices.SortFunc(names, func(a, b core.ModelName) int {
		return cmp.Or(cmp.Compare(w.worth(b, w.copies[b]+1), w.worth(a, w.copies[a]+1)), cmp.Compare(a, b))
	})
}

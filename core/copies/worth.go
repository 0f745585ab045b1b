package copies

import (
	"cmp"
	"math"
	"slices"

	"radishwell/core"
)

// worth returns the worth of the nth copy of a model, in requests per second that it serves
// within their target.
func (w *plan) worth(name core.ModelName, nth int) float64 {
	d := w.demand[name]
	first := idleWorth + d.Rate
	if len(w.near[name]) > 0 {
		first = idleWorth + d.Hasty + (d.Rate-d.Hasty)*diskWorthFactor
	}
	if nth <= 1 {
		return first + float64(d.Waiting)*waitingWorth
	}
	if len(w.demand) == 0 && nth <= initialCopies && nth <= w.copies[name] {
		return first
	}
	before, after := timelyShare(d.Work/float64(nth-1)), timelyShare(d.Work/float64(nth))
	return d.Rate*(after-before) + first*math.Pow(extraCopyFactor, float64(nth-1))
}

// timelyShare returns the fraction of requests that engines with the given utilization
// serve in time. Above saturationLoad the absolute number served in time stays constant, so
// that an additional copy has worth however many are missing.
func timelyShare(load float64) float64 {
	switch {
	case load <= queueingLoad:
		return 1
	case load <= saturationLoad:
		return 1 - (1-saturationShare)*(load-queueingLoad)/(saturationLoad-queueingLoad)
	default:
		return saturationShare * saturationLoad / load
	}
}

// rankedModel is a model with the worth of its next copy.
type rankedModel struct {
	name  core.ModelName
	worth float64
}

// compareWorth orders models by the worth of their next copy, highest first.
func compareWorth(a, b rankedModel) int {
	return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.name, b.name))
}

// rank returns the models that include accepts, in descending order of the worth of their
// next copy.
func (w *plan) rank(include func(core.ModelName) bool) []rankedModel {
	out := make([]rankedModel, 0, len(w.service.Models))
	for name := range w.service.Models {
		if include(name) {
			out = append(out, rankedModel{name: name, worth: w.worth(name, w.copies[name]+1)})
		}
	}
	slices.SortFunc(out, compareWorth)
	return out
}

package copies

import (
	"cmp"
	"math"
	"slices"

	"radishwell/core"
)

// worth returns the worth of the nth copy of a model, in requests per second that it serves
// within their target, at a host of the given speed. others is the capacity of the other
// copies.
func (w *plan) worth(name core.ModelName, nth int, others, speed float64) float64 {
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
	more := timelyShare(d.Work, others+speed) - timelyShare(d.Work, others)
	return d.Rate*more + first*math.Pow(extraCopyFactor, float64(nth-1))
}

// nextWorth returns the worth of one more copy of a model at a host of usual speed.
func (w *plan) nextWorth(name core.ModelName) float64 {
	return w.worth(name, w.copies[name]+1, w.capacity[name], 1)
}

// heldWorth returns the worth of the copy of a model that a host holds.
func (w *plan) heldWorth(h *Host, name core.ModelName) float64 {
	return w.worth(name, w.copies[name], w.capacity[name]-h.speed(), h.speed())
}

// slowness returns by how much less one more copy of a model is worth at a host than at one of
// usual speed.
func (w *plan) slowness(h *Host, name core.ModelName) float64 {
	d, others := w.demand[name], w.capacity[name]
	return d.Rate * max(0, timelyShare(d.Work, others+1)-timelyShare(d.Work, others+h.speed()))
}

// minCapacity is the least capacity of a model's copies, so that rate limits and rounding never
// leave a load divided by zero.
const minCapacity = 0.05

// timelyShare returns the fraction of requests that engines of the given capacity serve in time,
// where work is the fraction of the time of one engine of usual speed that the requests take.
// Above saturationLoad the absolute number served in time stays constant, so that an additional
// copy has worth however many are missing.
func timelyShare(work, capacity float64) float64 {
	load := work / max(capacity, minCapacity)
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
			out = append(out, rankedModel{name: name, worth: w.nextWorth(name)})
		}
	}
	slices.SortFunc(out, compareWorth)
	return out
}

package copies

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// candidate is a host for one more copy of a model.
type candidate struct {
	host  *Host
	evict []core.ModelName
	from  core.Tier
	loss  float64
	// took is the duration of the load, including the time to finish the requests of the
	// evicted models.
	took  time.Duration
	score float64
}

// placeAll places copies in descending order of worth. Placing one copy of each model per
// round was too slow after all hosts restarted empty: the remaining hosts went to rarely
// requested models, while the busy ones lacked copies for another second.
//
// A copy changes only the worth of the next copy of the same model and of the models that
// it displaces, so only these are ranked again. Sorting all models after each copy would
// take most of a decision in a large fleet.
func (w *plan) placeAll() {
	remaining := w.rank(func(core.ModelName) bool { return true })
	for len(remaining) > 0 {
		first := remaining[0]
		remaining = remaining[1:]
		if !w.place(first) {
			continue
		}
		remaining = w.insert(remaining, first.name)
		for _, m := range w.moves[len(w.moves)-1].Evict {
			if at := slices.IndexFunc(remaining, func(r rankedModel) bool { return r.name == m }); at >= 0 {
				remaining = w.insert(slices.Delete(remaining, at, at+1), m)
			}
		}
	}
}

// placeContinuing places copies for requests that continue streams and wait for a model on a
// host of their software version, if the version has no copy. Copies on other hosts are of no
// use to them.
func (w *plan) placeContinuing() {
	var names []core.ModelName
	for name, d := range w.demand {
		if len(d.Continuing) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, version := range w.demand[name].Continuing {
			if w.byVersion[versionKey{name, version}] > 0 {
				continue
			}
			next := rankedModel{name: name, worth: w.worth(name, 1, 0, 1)}
			best := w.best(next, func(h *Host) bool { return h.Software == version })
			if best.host != nil {
				w.move(next, best)
			}
		}
	}
}

// insert adds a model to a ranked list.
func (w *plan) insert(list []rankedModel, name core.ModelName) []rankedModel {
	r := rankedModel{name: name, worth: w.nextWorth(name)}
	at, _ := slices.BinarySearchFunc(list, r, compareWorth)
	return slices.Insert(list, at, r)
}

// place finds the host for one more copy of a model, and reports whether there is one that
// is worth it.
func (w *plan) place(next rankedModel) bool {
	name, worth := next.name, next.worth
	if w.copies[name] > 0 && worth < minExtraWorth {
		return false
	}
	best := w.best(next, func(*Host) bool { return true })
	if best.host == nil {
		return false
	}
	if best.from == core.TierStore && w.nearHostIsSooner(name, w.now.Add(best.took)) {
		return false
	}
	w.move(next, best)
	return true
}

// best returns the best of the accepted hosts for one more copy of a model. Its host is nil if
// there is none.
func (w *plan) best(next rankedModel, accept func(*Host) bool) (best candidate) {
	canRead := w.storeFree() && w.mayUseStore(next.name)
	hosts := w.hosts
	if !canRead {
		hosts = w.near[next.name]
	}
	for _, h := range hosts {
		if !accept(h) {
			continue
		}
		c, ok := w.evaluate(h, next, canRead)
		if ok && (best.host == nil || c.score > best.score) {
			best = c
		}
	}
	return best
}

// move decides on a move that places a copy of a model.
func (w *plan) move(next rankedModel, best candidate) {
	name := next.name
	move := Move{
		Copies: w.copies[name], Demand: w.demand[name], Worth: next.worth, Loss: best.loss, Speed: best.host.speed(),
		Host: best.host.ID, Evict: best.evict, Load: name, From: best.from, Idle: drainDelay(best.host, best.evict) == 0,
		At: w.now, By: w.now.Add(best.took), Until: w.now.Add(moveTTL),
	}
	w.moves = append(w.moves, move)
	w.Planner.moves[move.Host] = move
	best.host.TakesOrders = false
	w.copies[name]++
	w.capacity[name] += best.host.speed()
	w.byVersion[versionKey{name, best.host.Software}]++
	for _, m := range best.evict {
		w.copies[m] = max(0, w.copies[m]-1)
		w.capacity[m] = max(0, w.capacity[m]-best.host.speed())
		w.byVersion[versionKey{m, best.host.Software}]--
	}
	if best.from == core.TierStore {
		w.storeLoads++
		if rate := w.service.LoadsPerSecond; rate > 0 {
			w.budget.take(w.now, storeInterval(rate))
		}
	}
}

// nearHostIsSooner reports whether a host that has a model's weights near will have loaded
// it before the given time, though it takes no order yet.
//
// This matters if requests cycle through more models than the hosts can hold, with one
// request per model every second or two: a load from the weight store occupies a host for
// seconds, in which it takes no other order, while one from a disk takes half a second.
func (w *plan) nearHostIsSooner(name core.ModelName, by time.Time) bool {
	for _, h := range w.near[name] {
		if slices.Contains(h.Held, name) {
			continue
		}
		begin := w.now
		if _, at, _ := w.currentLoad(h); at.After(begin) {
			begin = at
		}
		if begin.Add(drainTime + w.loadDuration(name, h.Near(name))).Before(by) {
			return true
		}
	}
	return false
}

// evaluate scores one host for a model's next copy. canRead is set if the model may be
// loaded from the weight store.
func (w *plan) evaluate(h *Host, next rankedModel, canRead bool) (candidate, bool) {
	name := next.name
	if !h.TakesOrders || h.Leaving || slices.Contains(h.Held, name) || h.Loading == name {
		return candidate{}, false
	}
	if _, moving := w.Planner.moves[h.ID]; moving {
		return candidate{}, false
	}
	from := h.Near(name)
	if from == core.TierStore && !canRead {
		return candidate{}, false
	}
	evict, loss, ok := w.makeRoom(h, name)
	slower := w.slowness(h, name)
	worth := next.worth - slower
	if !ok || loss > worth*hysteresis || w.copies[name] > 0 && worth < minExtraWorth {
		return candidate{}, false
	}
	took := drainDelay(h, evict) + w.loadDuration(name, from)
	score := -loss - slower - loadTimePenalty*took.Seconds()
	score -= slowPenalty * (1 - h.speed()) * min(1, w.demand[name].Work)
	if h.Limit.Limited {
		score -= limitPenalty
	}
	if w.byVersion[versionKey{name, h.Software}] == 1 {
		score += pairBonus
	}
	return candidate{host: h, evict: evict, from: from, loss: loss, took: took, score: score}, true
}

// storeFree reports whether the weight store can take one more load. With more loads than
// it serves at full speed, each becomes slower and none is ready sooner.
func (w *plan) storeFree() bool {
	if w.storeLoads >= w.width.Value() {
		return false
	}
	rate := w.service.LoadsPerSecond
	return rate <= 0 || w.budget.any(w.now, storeInterval(rate))
}

// mayUseStore reports whether a model is worth a load from the weight store. Models without
// demand leave half of the store's capacity to the others, and all of it while any requests
// wait, since the load would also delay the adapters and swaps that callers wait for on its
// host.
func (w *plan) mayUseStore(name core.ModelName) bool {
	if w.demand[name].Rate > 0 || w.demand[name].Waiting > 0 || len(w.demand) == 0 {
		return true
	}
	return !w.waiting && w.storeLoads < max(1, w.width.Value()/2)
}

// makeRoom returns the models that a host evicts for another one, and their total worth.
func (w *plan) makeRoom(h *Host, name core.ModelName) (evict []core.ModelName, loss float64, ok bool) {
	free := h.Memory - h.Adapters
	for _, m := range h.Held {
		free -= w.service.Models[m].Weights
	}
	need := w.service.Models[name].Weights
	if free >= need {
		return nil, 0, true
	}
	held := slices.DeleteFunc(slices.Clone(h.Held), func(m core.ModelName) bool { return !w.mayEvict(h, m, name) })
	keep := func(m core.ModelName) float64 {
		return w.heldWorth(h, m) + loadTimePenalty*drainDelay(h, []core.ModelName{m}).Seconds()
	}
	slices.SortFunc(held, func(a, b core.ModelName) int {
		return cmp.Or(cmp.Compare(keep(a), keep(b)), cmp.Compare(a, b))
	})
	for _, m := range held {
		if free >= need {
			break
		}
		evict = append(evict, m)
		free += w.service.Models[m].Weights
	}
	if free < need {
		return nil, 0, false
	}
	evict = slices.DeleteFunc(evict, func(m core.ModelName) bool {
		size := w.service.Models[m].Weights
		if free-size < need {
			return false
		}
		free -= size
		return true
	})
	for _, m := range evict {
		loss += w.heldWorth(h, m)
	}
	return evict, loss, true
}

// drainDelay returns how long a host takes to evict models, whose requests in progress it
// finishes first.
func drainDelay(h *Host, evict []core.ModelName) time.Duration {
	for _, m := range evict {
		if h.Active[m] > 0 {
			return drainTime
		}
	}
	return 0
}

// mayEvict reports whether a host may evict one model for another.
//
// A host finishes the requests of an evicted model before it loads anything, and serves
// neither model meanwhile. If requests cycle through more models than the hosts can hold,
// with one request per model every second or two that keeps it busy for as long, most hosts
// can be draining at the same moment with half of their memory empty. Since some last
// copies are idle at most moments, only these are evicted until callers have waited for
// busyEvictionWait.
func (w *plan) mayEvict(h *Host, m, name core.ModelName) bool {
	if w.now.Sub(w.since[copyKey{h.ID, m}]) < minHoldTime {
		return false
	}
	return h.Active[m] == 0 || w.copies[m] > 1 || w.waitTime(name) >= busyEvictionWait
}

// waitTime returns how long requests have waited for a model without a copy.
func (w *plan) waitTime(name core.ModelName) time.Duration {
	at, ok := w.waits[name]
	if !ok {
		return 0
	}
	return w.now.Sub(at)
}

// loadDuration returns how long a load takes.
func (w *plan) loadDuration(name core.ModelName, from core.Tier) time.Duration {
	load := w.service.Models[name].LoadTime(from)
	if from != core.TierStore {
		return load
	}
	// Loads beyond the store's width share its speed.
	over := float64(w.storeLoads+1) / float64(w.width.Value())
	return time.Duration(float64(load) * max(1, over))
}

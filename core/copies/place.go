package copies

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
)

// choice is a host for one more copy of a model.
type choice struct {
	host  *Host
	evict []core.ModelName
	from  core.Tier
	loss  float64
	// took is how long the copy takes, with the end of the requests that use what
	// is given up.
	took  time.Duration
	score float64
}

// placeAll places copies, those that are worth most first. It answers the moment
// after all hosts were restarted empty: with one copy of each model a round, the
// hosts that were left went to models asked for now and then, while the busy ones lacked
// copies for a second more.
//
// A copy changes the worth of the next one of the same model and of what it displaces
// only; these take their new places among the others. Sorting all anew at each copy would
// take most of a decision in a large fleet.
func (w *plan) placeAll() {
	left := w.wanted(func(core.ModelName) bool { return true })
	for len(left) > 0 {
		first := left[0]
		left = left[1:]
		if !w.place(first) {
			continue
		}
		left = w.insert(left, first.name)
		for _, m := range w.moves[len(w.moves)-1].Evict {
			if at := slices.IndexFunc(left, func(r ranked) bool { return r.name == m }); at >= 0 {
				left = w.insert(slices.Delete(left, at, at+1), m)
			}
		}
	}
}

// insert puts a model at its place among others.
func (w *plan) insert(list []ranked, name core.ModelName) []ranked {
	r := ranked{name: name, worth: w.worth(name, w.copies[name]+1)}
	at, _ := slices.BinarySearchFunc(list, r, compareRanked)
	return slices.Insert(list, at, r)
}

// place finds the host for one more copy of a model, if that is worth it.
func (w *plan) place(next ranked) bool {
	name, worth := next.name, next.worth
	if w.copies[name] > 0 && worth < leastFurther {
		return false
	}
	var best choice
	mayRead := w.mayRead() && w.maySpend(name)
	hosts := w.hosts
	if !mayRead {
		hosts = w.near[name]
	}
	for _, h := range hosts {
		c, ok := w.try(h, next, mayRead)
		if ok && (best.host == nil || c.score > best.score) {
			best = c
		}
	}
	if best.host == nil {
		return false
	}
	took := best.took
	if best.from == core.TierStore && w.nearSooner(name, w.now.Add(took)) {
		return false
	}
	move := Move{
		Copies: w.copies[name], Demand: w.demand[name], Worth: worth, Loss: best.loss,
		Host: best.host.ID, Evict: best.evict, Load: name, From: best.from, Idle: drain(best.host, best.evict) == 0,
		At: w.now, By: w.now.Add(took), Until: w.now.Add(settle),
	}
	w.moves = append(w.moves, move)
	w.Planner.moves[move.Host] = move
	best.host.Open = false
	w.copies[name]++
	for _, m := range best.evict {
		w.copies[m] = max(0, w.copies[m]-1)
	}
	if best.from == core.TierStore {
		w.loading++
		w.starts = append(w.starts, w.now)
	}
	return true
}

// nearSooner tells whether a host that has a model's weights near will have loaded
// it by a time, though it takes no order yet.
//
// It answers the load of more models in turn than the hosts hold, each asked for
// every second or two: a load from the weight store occupies a host for seconds, in
// which it takes no other order, while one from a disk takes half a second.
func (w *plan) nearSooner(name core.ModelName, by time.Time) bool {
	for _, h := range w.near[name] {
		if slices.Contains(h.Held, name) {
			continue
		}
		begin := w.now
		if _, at, _ := w.underWay(h); at.After(begin) {
			begin = at
		}
		if begin.Add(drainTime + w.duration(name, h.Near(name))).Before(by) {
			return true
		}
	}
	return false
}

// try weighs one host for a model's next copy; mayRead tells whether it may be read
// from the weight store.
func (w *plan) try(h *Host, next ranked, mayRead bool) (choice, bool) {
	name := next.name
	if !h.Open || h.Leaving || slices.Contains(h.Held, name) || h.Loading == name {
		return choice{}, false
	}
	if _, moving := w.Planner.moves[h.ID]; moving {
		return choice{}, false
	}
	from := h.Near(name)
	if from == core.TierStore && !mayRead {
		return choice{}, false
	}
	evict, loss, ok := w.room(h, name)
	if !ok || loss > next.worth*hysteresis {
		return choice{}, false
	}
	took := drain(h, evict) + w.duration(name, from)
	score := -loss - swapPenalty*took.Seconds()
	if h.Limit.Limited {
		score -= limitPenalty
	}
	return choice{host: h, evict: evict, from: from, loss: loss, took: took, score: score}, true
}

// mayRead tells whether the weight store takes one more load. More loads at once
// than it serves at full speed make each of them slower, and none is ready
// sooner.
func (w *plan) mayRead() bool {
	if w.loading >= w.width.Value() {
		return false
	}
	rate := w.service.LoadsPerSecond
	return rate <= 0 || float64(len(w.starts)+1) <= max(1, rate*storeSpan.Seconds()*storeShare)
}

// maySpend tells whether a load that takes seconds may be spent on a model. Those
// that nobody asks for leave half of the weight store's speed to the others, and
// all of it while requests wait: on its host the load also holds up the adapters
// and swaps that callers wait for.
func (w *plan) maySpend(name core.ModelName) bool {
	if w.demand[name].Rate > 0 || w.demand[name].Waiting > 0 || len(w.demand) == 0 {
		return true
	}
	return !w.waited && w.loading < max(1, w.width.Value()/2)
}

// room returns the models that a host gives up for another and what they are
// worth together.
func (w *plan) room(h *Host, name core.ModelName) (evict []core.ModelName, loss float64, ok bool) {
	free := h.Memory - h.Adapters
	for _, m := range h.Held {
		free -= w.service.Models[m].Weights
	}
	need := w.service.Models[name].Weights
	if free >= need {
		return nil, 0, true
	}
	held := slices.DeleteFunc(slices.Clone(h.Held), func(m core.ModelName) bool { return !w.mayGiveUp(h, m, name) })
	keep := func(m core.ModelName) float64 {
		return w.worth(m, w.copies[m]) + swapPenalty*drain(h, []core.ModelName{m}).Seconds()
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
		loss += w.worth(m, w.copies[m])
	}
	return evict, loss, true
}

// drain returns how long a host takes to give models up: it ends their requests in
// progress first.
func drain(h *Host, evict []core.ModelName) time.Duration {
	for _, m := range evict {
		if h.Active[m] > 0 {
			return drainTime
		}
	}
	return 0
}

// mayGiveUp tells whether a host may give up one model for another.
//
// It answers the load of more models in turn than the hosts hold, each asked for
// every second or two and busy for as long with a request. A host ends the requests
// of what it gives up before it loads anything, and has neither model meanwhile; most
// hosts can be in such a wait at the same moment, their memory half empty. At most
// moments some last copies are idle; while callers have waited for less than patience
// only those go.
func (w *plan) mayGiveUp(h *Host, m, name core.ModelName) bool {
	if w.now.Sub(w.since[copyKey{h.ID, m}]) < keepTime {
		return false
	}
	return h.Active[m] == 0 || w.copies[m] > 1 || w.waitedFor(name) >= patience
}

// waitedFor returns for how long requests have waited for a model without a copy.
func (w *plan) waitedFor(name core.ModelName) time.Duration {
	at, ok := w.waits[name]
	if !ok {
		return 0
	}
	return w.now.Sub(at)
}

// duration returns how long a load takes.
func (w *plan) duration(name core.ModelName, from core.Tier) time.Duration {
	m := w.service.Models[name]
	switch from {
	case core.TierMemory:
		return m.FromMemory
	case core.TierDisk:
		return m.FromDisk
	}
	// Loads beyond those served at full speed share it.
	over := float64(w.loading+1) / float64(w.width.Value())
	return time.Duration(float64(m.Load) * max(1, over))
}

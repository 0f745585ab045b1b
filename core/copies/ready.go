package copies

import (
	"slices"
	"time"

	"radishwell/core"
)

// predictReady computes when models will have a copy: for loads under way, their expected
// end, and for models with waiting requests, a load after those before it.
func (w *plan) predictReady() {
	w.ready = map[core.ModelName]time.Time{}
	var store []time.Time
	for _, h := range w.hosts {
		name, by, from := w.currentLoad(h)
		if name == "" {
			continue
		}
		if at, ok := w.ready[name]; !ok || by.Before(at) {
			w.ready[name] = by
		}
		if from == core.TierStore {
			store = append(store, by)
		}
	}
	for len(store) < w.width.Value() {
		store = append(store, w.now)
	}
	missing := func(name core.ModelName) bool {
		_, coming := w.ready[name]
		return !coming && w.copies[name] == 0 && w.demand[name].Waiting > 0
	}
	for _, next := range w.rank(missing) {
		name := next.name
		slices.SortFunc(store, time.Time.Compare)
		at, from, ok := w.earliestLoad(name, store[0])
		if !ok {
			continue
		}
		w.ready[name] = at
		if from == core.TierStore {
			store[0] = at
		}
	}
}

// currentLoad returns the load that a host carries out or is about to.
func (w *plan) currentLoad(h *Host) (name core.ModelName, by time.Time, from core.Tier) {
	if move, moving := w.Planner.moves[h.ID]; moving {
		return move.Load, move.By, move.From
	}
	if h.Loading == "" {
		return "", time.Time{}, 0
	}
	by = h.LoadedBy
	if seen := w.width.due(w.now, h.ID); seen.After(by) {
		by = seen
	}
	return h.Loading, by, h.Near(h.Loading)
}

// earliestLoad returns when the first of the hosts could have a model loaded, if the weight
// store is free from the given time on.
func (w *plan) earliestLoad(name core.ModelName, store time.Time) (at time.Time, from core.Tier, ok bool) {
	for _, h := range w.hosts {
		if h.Leaving {
			continue
		}
		begin := w.now
		if _, by, _ := w.currentLoad(h); by.After(begin) {
			begin = by
		}
		near := h.Near(name)
		if near == core.TierStore && store.After(begin) {
			begin = store
		}
		end := begin.Add(w.loadDuration(name, near))
		if !ok || end.Before(at) {
			at, from, ok = end, near, true
		}
	}
	return at, from, ok
}

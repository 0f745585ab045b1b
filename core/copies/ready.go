package copies

import (
	"slices"
	"time"

	"radishwell/core"
)

// foresee works out when models will have a copy: those on their way when they
// should be there, those that are waited for after the loads before them.
func (w *plan) foresee() {
	w.ready = map[core.ModelName]time.Time{}
	var store []time.Time
	for _, h := range w.hosts {
		name, by, from := w.underWay(h)
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
	for _, next := range w.wanted(missing) {
		name := next.name
		slices.SortFunc(store, time.Time.Compare)
		at, from, ok := w.soonest(name, store[0])
		if !ok {
			continue
		}
		w.ready[name] = at
		if from == core.TierStore {
			store[0] = at
		}
	}
}

// underWay returns the load that a host carries out or is about to.
func (w *plan) underWay(h *Host) (name core.ModelName, by time.Time, from core.Tier) {
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

// soonest returns when the first of the hosts could have a model loaded, if the
// weight store is free from a time on.
func (w *plan) soonest(name core.ModelName, store time.Time) (at time.Time, from core.Tier, ok bool) {
	for _, h := range w.hosts {
		if h.Leaving {
			continue
		}
		begin := w.now
		if _, by, _ := w.underWay(h); by.After(begin) {
			begin = by
		}
		near := h.Near(name)
		if near == core.TierStore && store.After(begin) {
			begin = store
		}
		end := begin.Add(w.duration(name, near))
		if !ok || end.Before(at) {
			at, from, ok = end, near, true
		}
	}
	return at, from, ok
}

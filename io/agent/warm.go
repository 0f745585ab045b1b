package agent

import (
	"time"

	"radishwell/core"
	"radishwell/core/ledger"
	"radishwell/core/warm"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
)

// reviewInterval is the time between two reviews of idle items, prewarmInterval
// the time between two checks for items to load ahead of need.
const (
	reviewInterval  = time.Second
	prewarmInterval = 20 * time.Second
)

// registerItem adds an item to the warm policy, or updates it there.
func (a *Agent) registerItem(name core.ModelName) {
	e, ok := a.Snapshot().Model(name)
	if !ok {
		return
	}
	accelerators := float64(max(1, e.Accelerators))
	if capacity := a.ledger.Capacity(); len(capacity) > 0 && capacity[0] > 0 {
		accelerators *= float64(e.Memory) / float64(capacity[0])
	}
	a.warm.Set(warm.Item{Name: name, Class: e.Class, Accelerators: accelerators})
}

// warmBegin records in the warm policy that a request begins to use its model,
// and the base of an adapter; warmEnd records the end of that use.
func (a *Agent) warmBegin(now time.Time, t core.Target, class core.Class) {
	for _, name := range itemsOf(t) {
		a.registerItem(name)
		a.warm.Begin(now, name, class)
	}
}

func (a *Agent) warmEnd(now time.Time, t core.Target) {
	for _, name := range itemsOf(t) {
		a.warm.End(now, name)
	}
}

func itemsOf(t core.Target) []core.ModelName {
	switch {
	case t.Model == "":
		return nil
	case t.Base == "":
		return []core.ModelName{t.Model}
	default:
		return []core.ModelName{t.Model, t.Base}
	}
}

// reviewItems unloads idle items that are no longer worth their accelerators'
// time, measures how the accelerators are used, and loads items ahead of need.
// The caller holds mu.
func (a *Agent) reviewItems(now time.Time) {
	if a.Plain || now.Before(a.lastReview.Add(reviewInterval)) {
		return
	}
	a.measureAccelerators(now)
	a.lastReview = now
	for _, i := range a.ledger.Items() {
		if i.State != core.Loaded || i.Users > 0 || a.hasWaiting(i.Name) || a.warm.KeepUntil(now, i.Name).After(now) {
			continue
		}
		if !a.hasLane(i.Name) && now.Before(i.Since.Add(orphanRetention)) {
			continue
		}
		if a.ledger.Unload(now, i.Name) {
			a.Meter.Unload(meter.UnloadIdle)
			loop.Wake(a.driveWake)
		}
	}
	if now.After(a.lastPrewarm.Add(prewarmInterval)) {
		a.lastPrewarm = now
		a.prewarm(now)
	}
}

// orphanRetention is how long an item stays loaded that this agent found loaded
// when it started and has had no request for: callers of the agent's earlier
// process may come back within that time.
const orphanRetention = 5 * time.Minute

func (a *Agent) hasLane(name core.ModelName) bool {
	_, ok := a.lanes[string(name)]
	return ok
}

// hasWaiting reports whether requests wait for an item, or for an adapter of it.
func (a *Agent) hasWaiting(name core.ModelName) bool {
	for _, l := range a.lanes {
		if l.waiting > 0 && (l.target.Model == name || l.target.Base == name) {
			return true
		}
	}
	return false
}

// measureAccelerators counts the time since the last review as busy or idle
// accelerator time.
func (a *Agent) measureAccelerators(now time.Time) {
	if a.lastReview.IsZero() {
		return
	}
	const (
		empty = iota
		idle
		busy
	)
	use := make([]int, len(a.ledger.Capacity()))
	for _, i := range a.ledger.Items() {
		state := idle
		if i.Users > 0 {
			state = busy
		}
		for _, at := range i.Accelerators {
			if at < len(use) {
				use[at] = max(use[at], state)
			}
		}
	}
	counts := [3]int{}
	for _, u := range use {
		counts[u]++
	}
	a.Meter.Accelerators(counts[idle], false, a.lastReview, now)
	a.Meter.Accelerators(counts[busy], true, a.lastReview, now)
}

// prewarm starts loads ahead of need. They wait for slots like other loads, in
// the lowest class.
func (a *Agent) prewarm(now time.Time) {
	loaded := func(name core.ModelName) bool { return a.ledger.Item(name).State != core.Absent }
	for _, advice := range a.warm.Prewarm(now, loaded) {
		if !a.mayUse(advice.Name) || a.leaving {
			continue
		}
		a.prewarmItem(now, advice.Name)
	}
}

func (a *Agent) prewarmItem(now time.Time, name core.ModelName) {
	e, ok := a.Snapshot().Model(name)
	if !ok {
		return
	}
	if base := e.Target.Base; base != "" && a.ledger.Item(base).State != core.Loaded {
		a.loadItem(now, base, "", core.Overnight, now.Add(prewarmInterval))
		return
	}
	if a.loadItem(now, name, e.Target.Base, core.Overnight, now.Add(prewarmInterval)) == ledger.Loading {
		events.Log(events.LoadStarted, "model", name, "host", a.Host, "ahead-of-need", true)
		loop.Wake(a.driveWake)
	}
}

// prewarmGranted continues a load ahead of need once its slot is granted.
func (a *Agent) prewarmGranted(now time.Time, s *slot) {
	if !a.hasWaiting(s.name) {
		a.prewarmItem(now, s.name)
	}
}

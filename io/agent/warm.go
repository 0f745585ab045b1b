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

// lookTime is how often idle items are looked at, and prewarmTime how often
// items are that might be loaded ahead of need.
const (
	lookTime    = time.Second
	prewarmTime = 20 * time.Second
)

// learn makes an item known to the policy.
func (a *Agent) learn(name core.ModelName) {
	e, ok := a.Snapshot().Model(name)
	if !ok {
		return
	}
	part := float64(max(1, e.Accelerators))
	if capacity := a.ledger.Capacity(); len(capacity) > 0 && capacity[0] > 0 {
		part *= float64(e.Memory) / float64(capacity[0])
	}
	a.warm.Set(warm.Item{Name: name, Class: e.Class, Accelerators: part})
}

// useBegins and useEnds tell the policy of uses, an adapter's base with it.
func (a *Agent) useBegins(now time.Time, t core.Target, class core.Class) {
	for _, name := range itemsOf(t) {
		a.learn(name)
		a.warm.Begin(now, name, class)
	}
}

func (a *Agent) useEnds(now time.Time, t core.Target) {
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

// look unloads idle items that are not worth their accelerators' time any more,
// measures how the accelerators are used, and loads ahead of need. The lock is
// held.
func (a *Agent) look(now time.Time) {
	if a.Plain || now.Before(a.looked.Add(lookTime)) {
		return
	}
	a.measure(now)
	a.looked = now
	for _, i := range a.ledger.Items() {
		if i.State != core.Loaded || i.Users > 0 || a.wanted(i.Name) || a.warm.KeepUntil(now, i.Name).After(now) {
			continue
		}
		if !a.known(i.Name) && now.Before(i.Since.Add(orphanKeep)) {
			continue
		}
		if a.ledger.Unload(now, i.Name) {
			a.Meter.Unload(meter.UnloadIdle)
			loop.Poke(a.orders)
		}
	}
	if now.After(a.prewarmed.Add(prewarmTime)) {
		a.prewarmed = now
		a.prewarm(now)
	}
}

// orphanKeep is how long an item stays that this agent found loaded when it
// started and knows no use of: its predecessor's callers come back meanwhile.
const orphanKeep = 5 * time.Minute

func (a *Agent) known(name core.ModelName) bool {
	_, ok := a.lanes[string(name)]
	return ok
}

// wanted tells whether requests wait for an item, or for an adapter on it.
func (a *Agent) wanted(name core.ModelName) bool {
	for _, l := range a.lanes {
		if l.waiting > 0 && (l.target.Model == name || l.target.Base == name) {
			return true
		}
	}
	return false
}

// measure books the time since the last look as busy or idle accelerator time.
func (a *Agent) measure(now time.Time) {
	if a.looked.IsZero() {
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
	a.Meter.Accelerators(counts[idle], false, a.looked, now)
	a.Meter.Accelerators(counts[busy], true, a.looked, now)
}

// prewarm asks for loads ahead of need. They wait for their slots like others,
// in the class that yields to all.
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
		a.loadItem(now, base, "", core.Overnight, now.Add(prewarmTime))
		return
	}
	if a.loadItem(now, name, e.Target.Base, core.Overnight, now.Add(prewarmTime)) == ledger.Loading {
		events.Log(events.LoadStarted, "model", name, "host", a.Host, "ahead-of-need", true)
		loop.Poke(a.orders)
	}
}

// prewarmGranted goes on with a load ahead of need once it may read the store.
func (a *Agent) prewarmGranted(now time.Time, s *slot) {
	if !a.wanted(s.name) {
		a.prewarmItem(now, s.name)
	}
}

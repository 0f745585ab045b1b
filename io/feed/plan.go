package feed

import (
	"context"
	"net/netip"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/demand"
	"radishwell/core/follow"
)

// choosePlanner has a relay see who plans. The caller holds mu.
func (f *Feed) choosePlanner(now time.Time) {
	if !f.choice.Relay() {
		return
	}
	f.follows(f.chooser.Planner(now, f.choice.Relays))
}

// follows takes in who plans. The caller holds mu.
func (f *Feed) follows(planner follow.Member) {
	if planner.Name == f.planner.Name {
		return
	}
	f.planner = planner
	if f.Planner != nil {
		go f.Planner()
	}
}

// Plans returns the entry that plans as this one sees it; the zero Member where it
// sees none.
func (f *Feed) Plans() follow.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planner
}

// Demand returns what the models of all entries are asked for.
func (f *Feed) Demand() map[core.ModelName]copies.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.gather(now)
	return f.demand.All(now)
}

// Followers returns the upstream hosts whose agents follow this entry's plans.
func (f *Feed) Followers(age time.Duration) map[netip.AddrPort]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	out := map[netip.AddrPort]bool{}
	for _, h := range f.table.All() {
		if h.Planner == f.Self.Name && now.Sub(h.Report.Taken) < age {
			out[h.Address] = true
		}
	}
	return out
}

// HasFollowers tells whether any agent was heard of lately that follows a planner.
func (f *Feed) HasFollowers(age time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	for _, h := range f.table.All() {
		if h.Planner != "" && now.Sub(h.Report.Taken) < age {
			return true
		}
	}
	return false
}

// Foresee takes in the planner's forecasts, where this entry plans.
func (f *Feed) Foresee(ready map[core.ModelName]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sameReady(f.ready, ready) {
		return
	}
	f.ready = ready
	f.noteReady()
}

// noteReady numbers a change of the forecasts. The caller holds mu.
func (f *Feed) noteReady() {
	f.readyChange++
	f.wake()
}

func sameReady(a, b map[core.ModelName]time.Time) bool {
	if len(a) != len(b) {
		return false
	}
	for name, at := range a {
		if other, ok := b[name]; !ok || at.Sub(other).Abs() >= readySlack {
			return false
		}
	}
	return true
}

// gather takes in what this entry's own callers asked for. The caller holds mu.
func (f *Feed) gather(now time.Time) {
	arrivals := f.Proxy.TakeArrivals()
	f.demand.SetWaiting(now, f.Self.Name, f.Proxy.WaitingFor())
	f.addArrivals(now, arrivals)
}

// addArrivals counts arrivals and keeps them for the relays that are asked. The caller
// holds mu.
func (f *Feed) addArrivals(now time.Time, arrivals map[core.ModelName]demand.Arrivals) {
	if f.choice.Relay() {
		f.demand.Add(now, arrivals)
	}
	for _, r := range f.relays {
		r.add(arrivals)
	}
}

// Hurry tells at once what is waited for here.
func (f *Feed) Hurry(ctx context.Context) {
	f.mu.Lock()
	now := f.Clock.Now()
	var to *relay
	switch {
	case now.Sub(f.hurried) < hurryGap:
	case f.choice.Relay():
		to = f.relays[f.planner.Name]
	case len(f.choice.Relays) > 0:
		to = f.relays[f.choice.Relays[0].Name]
	}
	if to != nil {
		f.hurried = now
	}
	f.mu.Unlock()
	if to != nil {
		go f.exchange(ctx, to, hurryWait)
	}
}

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

// choosePlanner determines the planner if this entry is a relay. The caller holds mu.
func (f *Feed) choosePlanner(now time.Time) {
	if !f.choice.Relay() {
		return
	}
	f.setPlanner(f.chooser.Planner(now, f.choice.Relays))
}

// setPlanner sets the current planner. The caller holds mu.
func (f *Feed) setPlanner(planner follow.Member) {
	if planner.Name == f.planner.Name {
		return
	}
	f.planner = planner
	if f.OnPlanner != nil {
		go f.OnPlanner()
	}
}

// CurrentPlanner returns the planner as this entry sees it; the zero Member if it sees
// none.
func (f *Feed) CurrentPlanner() follow.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planner
}

// Demand returns the demand for each model, summed over all entries.
func (f *Feed) Demand() map[core.ModelName]copies.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.collectOwnDemand(now)
	return f.demand.All(now)
}

// Followers returns the upstream hosts whose agents follow this entry as the planner,
// according to reports younger than age.
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

// HasFollowers reports whether, according to reports younger than age, any agent follows
// a planner.
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

// SetForecasts sets the forecasts of the planner if this entry is the planner.
func (f *Feed) SetForecasts(ready map[core.ModelName]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sameReady(f.ready, ready) {
		return
	}
	f.ready = ready
	f.noteReadyChange()
}

// noteReadyChange numbers a change of the forecasts. The caller holds mu.
func (f *Feed) noteReadyChange() {
	f.readyChange++
	f.notifyWaiters()
}

func sameReady(a, b map[core.ModelName]time.Time) bool {
	if len(a) != len(b) {
		return false
	}
	for name, at := range a {
		if other, ok := b[name]; !ok || at.Sub(other).Abs() >= forecastTolerance {
			return false
		}
	}
	return true
}

// collectOwnDemand records the demand of this entry's own callers. The caller holds mu.
func (f *Feed) collectOwnDemand(now time.Time) {
	arrivals := f.Proxy.TakeArrivals()
	f.demand.SetWaiting(now, f.Self.Name, f.Proxy.WaitingFor())
	f.addArrivals(now, arrivals)
}

// addArrivals counts arrivals and queues them for the relays that this entry polls. The
// caller holds mu.
func (f *Feed) addArrivals(now time.Time, arrivals map[core.ModelName]demand.Arrivals) {
	if f.choice.Relay() {
		f.demand.Add(now, arrivals)
	}
	for _, r := range f.relays {
		r.add(arrivals)
	}
}

// PollNow sends the number of waiting requests with an extra poll at once, unless the last
// one was less than minExtraPollGap ago. A relay sends it to the planner, another entry
// to its first relay.
func (f *Feed) PollNow(ctx context.Context) {
	f.mu.Lock()
	now := f.Clock.Now()
	var to *relay
	switch {
	case now.Sub(f.lastExtraPoll) < minExtraPollGap:
	case f.choice.Relay():
		to = f.relays[f.planner.Name]
	case len(f.choice.Relays) > 0:
		to = f.relays[f.choice.Relays[0].Name]
	}
	if to != nil {
		f.lastExtraPoll = now
	}
	f.mu.Unlock()
	if to != nil {
		go f.pollOnce(ctx, to, extraPollWait)
	}
}

package replay

import (
	"time"

	"radishwell/core"
	"radishwell/core/warm"
)

// Fixed is a policy that keeps every item loaded for a fixed time after its last
// use. If the time is zero, items are unloaded at once.
type Fixed struct {
	keep    time.Duration
	lastUse map[core.ModelName]time.Time // end of the last use
}

// NewFixed returns a policy that keeps items for the given time.
func NewFixed(keep time.Duration) *Fixed {
	return &Fixed{keep: keep, lastUse: map[core.ModelName]time.Time{}}
}

// Begin implements Policy.
func (*Fixed) Begin(time.Time, core.ModelName, core.Class) {}

// End implements Policy.
func (f *Fixed) End(now time.Time, name core.ModelName) { f.lastUse[name] = now }

// Loaded implements Policy.
func (*Fixed) Loaded(core.ModelName, time.Duration) {}

// KeepUntil implements Policy.
func (f *Fixed) KeepUntil(_ time.Time, name core.ModelName) time.Time {
	return f.lastUse[name].Add(f.keep)
}

// Prewarm implements Policy.
func (*Fixed) Prewarm(time.Time, func(core.ModelName) bool) []core.ModelName { return nil }

// Learned adapts the policy of core/warm, which learns from past arrivals.
type Learned struct{ Policy *warm.Policy }

// NewLearned returns the policy of core/warm for the items of a trace. The worth
// of a second of waiting is warm.DefaultWorth multiplied by scale.
func NewLearned(t Trace, scale float64) *Learned {
	l := &Learned{Policy: &warm.Policy{Worth: warm.DefaultWorth.Times(scale)}}
	for _, i := range t.Items {
		l.Policy.Set(warm.Item{Name: i.Name, Class: i.Class, Accelerators: i.Accelerators})
	}
	return l
}

// Begin implements Policy.
func (l *Learned) Begin(now time.Time, name core.ModelName, class core.Class) {
	l.Policy.Begin(now, name, class)
}

// End implements Policy.
func (l *Learned) End(now time.Time, name core.ModelName) { l.Policy.End(now, name) }

// Loaded implements Policy.
func (l *Learned) Loaded(name core.ModelName, took time.Duration) { l.Policy.Loaded(name, took) }

// KeepUntil implements Policy.
func (l *Learned) KeepUntil(now time.Time, name core.ModelName) time.Time {
	return l.Policy.KeepUntil(now, name)
}

// Prewarm implements Policy.
func (l *Learned) Prewarm(now time.Time, loaded func(core.ModelName) bool) []core.ModelName {
	var names []core.ModelName
	for _, a := range l.Policy.Prewarm(now, loaded) {
		names = append(names, a.Name)
	}
	return names
}

// Optimal is a policy that knows the whole trace. It keeps an item if holding it
// until its next use costs no more than a cold start, and unloads it at once
// otherwise. It never loads ahead of need. No policy that loads only on demand can
// have a smaller sum of idle time and waits, weighted by worth.
type Optimal struct {
	worth warm.Worth
	items map[core.ModelName]Item
	uses  map[core.ModelName][]use
}

// use is a use of an item by a request of a class.
type use struct {
	at    time.Time
	class core.Class
}

// NewOptimal returns the optimal policy for a trace. The worth of a second of
// waiting is warm.DefaultWorth multiplied by scale.
func NewOptimal(t Trace, scale float64) *Optimal {
	f := &Optimal{worth: warm.DefaultWorth.Times(scale), items: map[core.ModelName]Item{}, uses: map[core.ModelName][]use{}}
	for _, i := range t.Items {
		f.items[i.Name] = i
	}
	for _, a := range t.Arrivals {
		u := use{at: a.At, class: f.items[a.Item].Class}
		f.uses[a.Item] = append(f.uses[a.Item], u)
		if base := f.items[a.Item].Base; base != "" {
			f.uses[base] = append(f.uses[base], u)
		}
	}
	return f
}

// Begin implements Policy.
func (f *Optimal) Begin(time.Time, core.ModelName, core.Class) {}

// End implements Policy.
func (f *Optimal) End(time.Time, core.ModelName) {}

// Loaded implements Policy.
func (f *Optimal) Loaded(core.ModelName, time.Duration) {}

// KeepUntil implements Policy.
func (f *Optimal) KeepUntil(now time.Time, name core.ModelName) time.Time {
	list := f.uses[name]
	for len(list) > 0 && !list[0].at.After(now) {
		list = list[1:]
	}
	f.uses[name] = list
	if len(list) == 0 {
		return now
	}
	i := f.items[name]
	if list[0].at.Sub(now).Seconds()*i.Accelerators > i.Load.Seconds()*f.worth[list[0].class] {
		return now
	}
	return list[0].at.Add(time.Nanosecond)
}

// Prewarm implements Policy.
func (f *Optimal) Prewarm(time.Time, func(core.ModelName) bool) []core.ModelName { return nil }

// Compare replays a trace with several fixed times, without unloading, with the
// policy of core/warm and with the optimal policy. The last two use scale.
func Compare(t Trace, scale float64) []Result {
	return []Result{
		Simulate(t, "unload at once", NewFixed(0)),
		Simulate(t, "keep 1 minute", NewFixed(time.Minute)),
		Simulate(t, "keep 10 minutes", NewFixed(10*time.Minute)),
		Simulate(t, "keep 60 minutes", NewFixed(time.Hour)),
		Simulate(t, "never unload", NewFixed(365*day)),
		Simulate(t, "ours", NewLearned(t, scale)),
		Simulate(t, "optimum", NewOptimal(t, scale)),
	}
}

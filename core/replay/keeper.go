package replay

import (
	"time"

	"radishwell/core"
	"radishwell/core/warm"
)

// Fixed keeps every item for the same time after its last use; zero unloads at
// once.
type Fixed struct {
	keep  time.Duration
	ended map[core.ModelName]time.Time
}

// NewFixed returns the policy that keeps items for a time.
func NewFixed(keep time.Duration) *Fixed {
	return &Fixed{keep: keep, ended: map[core.ModelName]time.Time{}}
}

// Begin implements Keeper.
func (*Fixed) Begin(time.Time, core.ModelName, core.Class) {}

// End implements Keeper.
func (f *Fixed) End(now time.Time, name core.ModelName) { f.ended[name] = now }

// Loaded implements Keeper.
func (*Fixed) Loaded(core.ModelName, time.Duration) {}

// Until implements Keeper.
func (f *Fixed) Until(_ time.Time, name core.ModelName) time.Time { return f.ended[name].Add(f.keep) }

// Prewarm implements Keeper.
func (*Fixed) Prewarm(time.Time, func(core.ModelName) bool) []core.ModelName { return nil }

// Learned is the policy of core/warm.
type Learned struct{ Policy *warm.Policy }

// NewLearned returns the policy of core/warm for the items of a trace. Scale
// multiplies what a second of waiting is worth.
func NewLearned(t Trace, scale float64) *Learned {
	l := &Learned{Policy: &warm.Policy{Worth: warm.DefaultWorth.Scale(scale)}}
	for _, i := range t.Items {
		l.Policy.Set(warm.Item{Name: i.Name, Class: i.Class, Accelerators: i.Accelerators})
	}
	return l
}

// Begin implements Keeper.
func (l *Learned) Begin(now time.Time, name core.ModelName, class core.Class) {
	l.Policy.Begin(now, name, class)
}

// End implements Keeper.
func (l *Learned) End(now time.Time, name core.ModelName) { l.Policy.End(now, name) }

// Loaded implements Keeper.
func (l *Learned) Loaded(name core.ModelName, took time.Duration) { l.Policy.NoteLoad(name, took) }

// Until implements Keeper.
func (l *Learned) Until(now time.Time, name core.ModelName) time.Time {
	return l.Policy.KeepUntil(now, name)
}

// Prewarm implements Keeper.
func (l *Learned) Prewarm(now time.Time, loaded func(core.ModelName) bool) []core.ModelName {
	var names []core.ModelName
	for _, a := range l.Policy.Prewarm(now, loaded) {
		names = append(names, a.Name)
	}
	return names
}

// Informed knows the trace: it keeps an item exactly where the next use comes
// before holding it costs more than a cold start, and unloads it at once where
// not. It loads nothing ahead of need. No policy without foresight that loads
// only at need can have a smaller sum of idle time and waits by its worth.
type Informed struct {
	worth warm.Worth
	items map[core.ModelName]Item
	uses  map[core.ModelName][]use
}

// use is one use of an item, and the class of who would wait for it.
type use struct {
	at    time.Time
	class core.Class
}

// NewInformed returns the optimum for a trace, with the same scale of worth.
func NewInformed(t Trace, scale float64) *Informed {
	f := &Informed{worth: warm.DefaultWorth.Scale(scale), items: map[core.ModelName]Item{}, uses: map[core.ModelName][]use{}}
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

// Begin implements Keeper.
func (f *Informed) Begin(time.Time, core.ModelName, core.Class) {}

// End implements Keeper.
func (f *Informed) End(time.Time, core.ModelName) {}

// Loaded implements Keeper.
func (f *Informed) Loaded(core.ModelName, time.Duration) {}

// Until implements Keeper.
func (f *Informed) Until(now time.Time, name core.ModelName) time.Time {
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

// Prewarm implements Keeper.
func (f *Informed) Prewarm(time.Time, func(core.ModelName) bool) []core.ModelName { return nil }

// Compare replays a trace with the fixed times, without unloading, with ours at
// a scale of worth, and with the optimum.
func Compare(t Trace, scale float64) []Result {
	return []Result{
		Play(t, "unload at once", NewFixed(0)),
		Play(t, "keep 1 minute", NewFixed(time.Minute)),
		Play(t, "keep 10 minutes", NewFixed(10*time.Minute)),
		Play(t, "keep 60 minutes", NewFixed(time.Hour)),
		Play(t, "never unload", NewFixed(365*day)),
		Play(t, "ours", NewLearned(t, scale)),
		Play(t, "optimum", NewInformed(t, scale)),
	}
}

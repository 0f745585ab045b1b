package replay

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/eventq"
	"radishwell/core/warm"
)

// Policy decides how long items stay loaded. Times are those of the trace.
type Policy interface {
	// Begin and End notify the policy of the begin and end of a use of an item, by a
	// request of a class.
	Begin(now time.Time, name core.ModelName, class core.Class)
	End(now time.Time, name core.ModelName)
	// Loaded notifies the policy of a load and its duration.
	Loaded(name core.ModelName, took time.Duration)
	// KeepUntil returns until when an item that is idle now stays loaded.
	KeepUntil(now time.Time, name core.ModelName) time.Time
	// Prewarm lists the items to load now, ahead of need. loaded reports whether an
	// item is loaded.
	Prewarm(now time.Time, loaded func(core.ModelName) bool) []core.ModelName
}

// Result is the performance of a policy on the measured days of a trace.
type Result struct {
	// Policy is the name of the policy.
	Policy string
	// Requests is the number of measured requests, Cold the number of those that
	// waited for a load.
	Requests, Cold int
	// P50, P99 and Max are quantiles of the waits of all requests.
	P50, P99, Max time.Duration
	// OpenerP50 and OpenerP99 are quantiles of the waits of openers: requests that
	// come after a pause of at least openerPause, like the first of a session.
	OpenerP50 time.Duration
	OpenerP99 time.Duration
	// OpenerMean is the mean wait of openers.
	OpenerMean time.Duration
	// IdleHours is the number of accelerator hours for which items were loaded but
	// not in use, LoadHours the number spent on loads.
	IdleHours float64
	LoadHours float64
	// WaitHours has the hours of waiting by class.
	WaitHours [core.ClassCount]float64
}

// Cost returns the sum of idle time, loads and waits in accelerator hours. Worth
// converts waits.
func (r Result) Cost(w warm.Worth) float64 {
	cost := r.IdleHours + r.LoadHours
	for class, hours := range r.WaitHours {
		cost += hours * w[class]
	}
	return cost
}

// openerPause is the pause after which a request counts as an opener.
const openerPause = 5 * time.Minute

// prewarmInterval is the time between two calls of Policy.Prewarm.
const prewarmInterval = time.Minute

// itemState is an item's state in a simulation.
type itemState struct {
	item   Item
	loaded bool
	// ready is when the current or last load ends.
	ready time.Time
	// idleSince is when the last load or use ended. It is valid while the item is
	// loaded and idle.
	idleSince time.Time
	// uses is the number of uses in progress.
	uses int
	// keepUntil is when an idle item is to be unloaded.
	keepUntil time.Time
	// lastArrival is when the item was last requested; valid only if requested is
	// set.
	lastArrival time.Time
	requested   bool
}

// event is a future event of a simulation.
type event struct {
	kind eventKind
	name core.ModelName
}

type eventKind uint8

const (
	useEnd eventKind = iota
	keepEnd
)

// simulator replays one trace with one policy.
type simulator struct {
	trace       Trace
	policy      Policy
	items       map[core.ModelName]*itemState
	events      eventq.Queue[event]
	result      Result
	waits       []time.Duration
	openerWaits []time.Duration
}

// Simulate replays a trace with a policy. The name is the result's.
func Simulate(t Trace, name string, k Policy) Result {
	s := &simulator{trace: t, policy: k, items: map[core.ModelName]*itemState{}, result: Result{Policy: name}}
	for _, i := range t.Items {
		s.items[i.Name] = &itemState{item: i}
	}
	nextPrewarm := t.Arrivals[0].At
	for _, a := range t.Arrivals {
		for nextPrewarm.Before(a.At) {
			s.advance(nextPrewarm)
			s.prewarm(nextPrewarm)
			nextPrewarm = nextPrewarm.Add(prewarmInterval)
		}
		s.advance(a.At)
		s.arrive(a)
	}
	s.advance(t.End)
	for _, it := range s.items {
		s.unload(it, t.End)
	}
	return s.summary()
}

func (s *simulator) schedule(at time.Time, kind eventKind, name core.ModelName) {
	s.events.Push(at, event{kind: kind, name: name})
}

// advance processes the events up to a time.
func (s *simulator) advance(now time.Time) {
	for next, ok := s.events.NextTime(); ok && !next.After(now); next, ok = s.events.NextTime() {
		at, e := s.events.Pop()
		it := s.items[e.name]
		switch {
		case e.kind == useEnd:
			s.release(it, at)
		case it.loaded && it.uses == 0 && !it.keepUntil.After(at):
			s.reconsider(it, at)
		}
	}
}

// reconsider asks the policy again when an item's time to be kept is over.
func (s *simulator) reconsider(it *itemState, now time.Time) {
	until := s.policy.KeepUntil(now, it.item.Name)
	if until.After(now) {
		it.keepUntil = until
		s.schedule(until, keepEnd, it.item.Name)
		return
	}
	s.unload(it, now)
}

func (s *simulator) unload(it *itemState, now time.Time) {
	if it.loaded && it.uses == 0 {
		s.addIdle(it, now)
		it.loaded = false
	}
}

// addIdle adds the measured part of the time from idleSince until now to the idle
// time.
func (s *simulator) addIdle(it *itemState, now time.Time) {
	from := it.idleSince
	if from.Before(s.trace.MeasureFrom) {
		from = s.trace.MeasureFrom
	}
	if now.After(from) {
		s.result.IdleHours += now.Sub(from).Hours() * it.item.Accelerators
	}
	it.idleSince = now
}

// load starts a load unless the item is loaded or loading. It returns when the
// item is ready.
func (s *simulator) load(it *itemState, now time.Time) time.Time {
	if it.loaded {
		return core.Later(now, it.ready)
	}
	it.loaded = true
	it.ready = now.Add(it.item.Load)
	it.idleSince = it.ready
	s.policy.Loaded(it.item.Name, it.item.Load)
	if !now.Before(s.trace.MeasureFrom) {
		s.result.LoadHours += it.item.Load.Hours() * it.item.Accelerators
	}
	return it.ready
}

func (s *simulator) arrive(a Arrival) {
	it := s.items[a.Item]
	ready := a.At
	if base := s.items[it.item.Base]; base != nil {
		ready = s.acquire(base, a.At, it.item.Class)
	}
	ready = core.Later(ready, s.acquire(it, ready, it.item.Class))
	end := ready.Add(a.Duration)
	s.schedule(end, useEnd, a.Item)
	if base := it.item.Base; base != "" {
		s.schedule(end, useEnd, base)
	}
	s.record(it, a.At, ready.Sub(a.At))
}

// acquire begins a use of an item. It returns when the item is ready.
func (s *simulator) acquire(it *itemState, now time.Time, class core.Class) time.Time {
	ready := s.load(it, now)
	if it.uses == 0 {
		s.addIdle(it, ready)
	}
	it.uses++
	s.policy.Begin(now, it.item.Name, class)
	return ready
}

func (s *simulator) release(it *itemState, now time.Time) {
	it.uses--
	s.policy.End(now, it.item.Name)
	if it.uses > 0 {
		return
	}
	it.idleSince = now
	it.keepUntil = core.Later(s.policy.KeepUntil(now, it.item.Name), now)
	s.schedule(it.keepUntil, keepEnd, it.item.Name)
}

func (s *simulator) record(it *itemState, at time.Time, wait time.Duration) {
	opener := !it.requested || at.Sub(it.lastArrival) >= openerPause
	it.requested, it.lastArrival = true, at
	if at.Before(s.trace.MeasureFrom) {
		return
	}
	s.result.Requests++
	s.result.WaitHours[it.item.Class] += wait.Hours()
	if wait > 0 {
		s.result.Cold++
	}
	s.waits = append(s.waits, wait)
	if opener {
		s.openerWaits = append(s.openerWaits, wait)
	}
}

// prewarm makes the loads that the policy wants ahead of need.
func (s *simulator) prewarm(now time.Time) {
	loaded := func(name core.ModelName) bool { return s.items[name].loaded }
	for _, name := range s.policy.Prewarm(now, loaded) {
		it := s.items[name]
		if base := s.items[it.item.Base]; base != nil && !base.loaded {
			s.loadAhead(base, now)
		}
		s.loadAhead(it, now)
	}
}

func (s *simulator) loadAhead(it *itemState, now time.Time) {
	ready := s.load(it, now)
	it.keepUntil = core.Later(s.policy.KeepUntil(ready, it.item.Name), ready)
	s.schedule(it.keepUntil, keepEnd, it.item.Name)
}

func (s *simulator) summary() Result {
	r := s.result
	slices.Sort(s.waits)
	slices.Sort(s.openerWaits)
	r.P50, r.P99, r.Max = quantile(s.waits, 0.5), quantile(s.waits, 0.99), quantile(s.waits, 1)
	r.OpenerP50, r.OpenerP99 = quantile(s.openerWaits, 0.5), quantile(s.openerWaits, 0.99)
	var sum time.Duration
	for _, w := range s.openerWaits {
		sum += w
	}
	r.OpenerMean = sum / time.Duration(max(1, len(s.openerWaits)))
	return r
}

// quantile returns a quantile of sorted waits.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

// Better reports whether r is at least as good as o in both mean wait and idle
// time, and better by more than 2% in one of them.
func (r Result) Better(o Result) bool {
	const margin = 0.98
	wait, idle := cmp.Compare(r.OpenerMean, o.OpenerMean), cmp.Compare(r.IdleHours, o.IdleHours)
	if wait > 0 || idle > 0 {
		return false
	}
	return float64(r.OpenerMean) < margin*float64(o.OpenerMean) || r.IdleHours < margin*o.IdleHours
}

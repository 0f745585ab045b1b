package replay

import (
	"cmp"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/eventq"
	"radishwell/core/warm"
)

// Keeper is a policy under test. Times are those of the trace.
type Keeper interface {
	// Begin and End frame a use by a request of a class.
	Begin(now time.Time, name core.ModelName, class core.Class)
	End(now time.Time, name core.ModelName)
	// Loaded tells how long a load took.
	Loaded(name core.ModelName, took time.Duration)
	// Until returns until when an item that is idle now is kept.
	Until(now time.Time, name core.ModelName) time.Time
	// Prewarm lists items to load now; loaded tells which are.
	Prewarm(now time.Time, loaded func(core.ModelName) bool) []core.ModelName
}

// Result is what a policy did on the measured days of a trace.
type Result struct {
	Policy string
	// Requests are all measured ones, Cold those that waited for a load.
	Requests, Cold int
	// P50, P99 and Max are of the waits of all requests, OpenerP99 of those that
	// come after a pause of openerPause or more, as a session's first.
	P50, P99, Max time.Duration
	OpenerP50     time.Duration
	OpenerP99     time.Duration
	// Mean is the mean wait of openers.
	Mean time.Duration
	// IdleHours are accelerator hours in which an item was loaded and not used,
	// LoadHours those spent on loads.
	IdleHours float64
	LoadHours float64
	// Waited is the hours of waiting by class.
	Waited [core.ClassCount]float64
}

// Cost is idle time, loads and waits in accelerator hours, by what a second of
// waiting is worth.
func (r Result) Cost(w warm.Worth) float64 {
	cost := r.IdleHours + r.LoadHours
	for class, hours := range r.Waited {
		cost += hours * w[class]
	}
	return cost
}

// openerPause is the pause after which a request counts as an opener.
const openerPause = 5 * time.Minute

// lookTime is how often the policy is asked for loads ahead of need.
const lookTime = time.Minute

// held is an item's state in a replay.
type held struct {
	item   Item
	loaded bool
	// ready is when a load under way ends, since when the item is loaded and idle
	// began, or the last use ended.
	ready time.Time
	since time.Time
	busy  int
	until time.Time
	last  time.Time
	used  bool
}

// event is something that a replay has foreseen.
type event struct {
	kind eventKind
	name core.ModelName
}

type eventKind uint8

const (
	endOfUse eventKind = iota
	timeToUnload
)

// player replays one trace with one policy.
type player struct {
	trace  Trace
	keeper Keeper
	items  map[core.ModelName]*held
	ahead  eventq.Queue[event]
	result Result
	waits  []time.Duration
	opens  []time.Duration
}

// Play replays a trace with a policy.
func Play(t Trace, name string, k Keeper) Result {
	p := &player{trace: t, keeper: k, items: map[core.ModelName]*held{}, result: Result{Policy: name}}
	for _, i := range t.Items {
		p.items[i.Name] = &held{item: i}
	}
	look := t.Arrivals[0].At
	for _, a := range t.Arrivals {
		for look.Before(a.At) {
			p.advance(look)
			p.prewarm(look)
			look = look.Add(lookTime)
		}
		p.advance(a.At)
		p.arrive(a)
	}
	p.advance(t.End)
	for _, h := range p.items {
		p.unload(h, t.End)
	}
	return p.summary()
}

func (p *player) push(at time.Time, kind eventKind, name core.ModelName) {
	p.ahead.Push(at, event{kind: kind, name: name})
}

// advance plays what was foreseen up to a time.
func (p *player) advance(now time.Time) {
	for next, ok := p.ahead.NextTime(); ok && !next.After(now); next, ok = p.ahead.NextTime() {
		at, e := p.ahead.Pop()
		h := p.items[e.name]
		switch {
		case e.kind == endOfUse:
			p.release(h, at)
		case h.loaded && h.busy == 0 && !h.until.After(at):
			p.reconsider(h, at)
		}
	}
}

// reconsider asks the policy once more when an item's time has come.
func (p *player) reconsider(h *held, now time.Time) {
	until := p.keeper.Until(now, h.item.Name)
	if until.After(now) {
		h.until = until
		p.push(until, timeToUnload, h.item.Name)
		return
	}
	p.unload(h, now)
}

func (p *player) unload(h *held, now time.Time) {
	if h.loaded && h.busy == 0 {
		p.idle(h, now)
		h.loaded = false
	}
}

// idle books the time since the last use as idle.
func (p *player) idle(h *held, now time.Time) {
	from := h.since
	if from.Before(p.trace.Measure) {
		from = p.trace.Measure
	}
	if now.After(from) {
		p.result.IdleHours += now.Sub(from).Hours() * h.item.Accelerators
	}
	h.since = now
}

// load begins a load unless there is one, and returns when the item is ready.
func (p *player) load(h *held, now time.Time) time.Time {
	if h.loaded {
		return later(now, h.ready)
	}
	h.loaded = true
	h.ready = now.Add(h.item.Load)
	h.since = h.ready
	p.keeper.Loaded(h.item.Name, h.item.Load)
	if !now.Before(p.trace.Measure) {
		p.result.LoadHours += h.item.Load.Hours() * h.item.Accelerators
	}
	return h.ready
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *player) arrive(a Arrival) {
	h := p.items[a.Item]
	ready := a.At
	if base := p.items[h.item.Base]; base != nil {
		ready = p.acquire(base, a.At, h.item.Class)
	}
	ready = later(ready, p.acquire(h, ready, h.item.Class))
	end := ready.Add(a.Takes)
	p.push(end, endOfUse, a.Item)
	if base := h.item.Base; base != "" {
		p.push(end, endOfUse, base)
	}
	p.measure(h, a.At, ready.Sub(a.At))
}

// acquire begins a use of an item and returns when it can run.
func (p *player) acquire(h *held, now time.Time, class core.Class) time.Time {
	ready := p.load(h, now)
	if h.busy == 0 {
		p.idle(h, ready)
	}
	h.busy++
	p.keeper.Begin(now, h.item.Name, class)
	return ready
}

func (p *player) release(h *held, now time.Time) {
	h.busy--
	p.keeper.End(now, h.item.Name)
	if h.busy > 0 {
		return
	}
	h.since = now
	h.until = later(p.keeper.Until(now, h.item.Name), now)
	p.push(h.until, timeToUnload, h.item.Name)
}

func (p *player) measure(h *held, at time.Time, wait time.Duration) {
	opener := !h.used || at.Sub(h.last) >= openerPause
	h.used, h.last = true, at
	if at.Before(p.trace.Measure) {
		return
	}
	p.result.Requests++
	p.result.Waited[h.item.Class] += wait.Hours()
	if wait > 0 {
		p.result.Cold++
	}
	p.waits = append(p.waits, wait)
	if opener {
		p.opens = append(p.opens, wait)
	}
}

func (p *player) prewarm(now time.Time) {
	loaded := func(name core.ModelName) bool { return p.items[name].loaded }
	for _, name := range p.keeper.Prewarm(now, loaded) {
		h := p.items[name]
		if base := p.items[h.item.Base]; base != nil && !base.loaded {
			p.warmUp(base, now)
		}
		p.warmUp(h, now)
	}
}

func (p *player) warmUp(h *held, now time.Time) {
	ready := p.load(h, now)
	h.until = later(p.keeper.Until(ready, h.item.Name), ready)
	p.push(h.until, timeToUnload, h.item.Name)
}

func (p *player) summary() Result {
	r := p.result
	slices.Sort(p.waits)
	slices.Sort(p.opens)
	r.P50, r.P99, r.Max = at(p.waits, 0.5), at(p.waits, 0.99), at(p.waits, 1)
	r.OpenerP50, r.OpenerP99 = at(p.opens, 0.5), at(p.opens, 0.99)
	var sum time.Duration
	for _, w := range p.opens {
		sum += w
	}
	r.Mean = sum / time.Duration(max(1, len(p.opens)))
	return r
}

// at returns a quantile of sorted waits.
func at(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

// Better tells whether a result is at least as good as another on both measures
// and clearly better on one.
func (r Result) Better(o Result) bool {
	const clearly = 0.98
	wait, idle := cmp.Compare(r.Mean, o.Mean), cmp.Compare(r.IdleHours, o.IdleHours)
	if wait > 0 || idle > 0 {
		return false
	}
	return float64(r.Mean) < clearly*float64(o.Mean) || r.IdleHours < clearly*o.IdleHours
}

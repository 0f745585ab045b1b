package agent

import (
	"math"
	"time"

	"radishwell/core"
	"radishwell/core/ledger"
	"radishwell/core/queue"
	"radishwell/core/strike"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
	"radishwell/io/relay"
)

// lane is the requests of one model, adapter or plain service.
type lane struct {
	name    string
	target  core.Target
	waiting int
	running int
	// cold tells that requests now waiting have waited for a load.
	cold bool
	// loading is when the load began that they wait for.
	loading time.Time
}

func (a *Agent) lane(t core.Target) *lane {
	l := a.lanes[t.Name()]
	if l == nil {
		l = &lane{name: t.Name(), target: t}
		a.lanes[t.Name()] = l
	}
	return l
}

// schedule starts what may start and asks for the loads that waiting requests
// need. The lock is held.
func (a *Agent) schedule(now time.Time) {
	a.expire(now)
	a.startHeld(now)
	for {
		item, ok := a.queue.Pop(now, func(name string) int { return a.free(a.lanes[name]) })
		a.expire(now)
		if !ok || !a.start(now, a.byID[item.ID]) {
			break
		}
	}
	for _, l := range a.lanes {
		if l.waiting > 0 {
			a.want(now, l)
		}
	}
}

func (a *Agent) expire(now time.Time) {
	for _, gone := range a.queue.Expire(now) {
		a.refused(now, gone)
	}
}

// startHeld tries again the requests that wait for a suspect's trial.
func (a *Agent) startHeld(now time.Time) {
	held := a.held
	a.held = nil
	for i, r := range held {
		switch {
		case !r.ended.IsZero():
		case !now.Before(relay.Time(r.head.GetDeadline())):
			a.end(r, now, core.Refuse(core.CodeDeadline, "the deadline passed while the request waited for a trial"))
		case a.free(a.lane(r.target)) <= 0:
			a.held = append(a.held, r)
		case !a.start(now, r):
			a.held = append(a.held, held[i+1:]...)
			return
		}
	}
}

// free tells how many of the lane's requests may start.
func (a *Agent) free(l *lane) int {
	if !a.reached || !a.Plain && (a.ledger.Item(l.target.Model).State != core.Loaded || !a.baseLoaded(l.target)) {
		return 0
	}
	return min(a.concurrency(l.target)-l.running, a.serviceConcurrency()-a.inWork)
}

func (a *Agent) baseLoaded(t core.Target) bool {
	return t.Base == "" || a.ledger.Item(t.Base).State == core.Loaded
}

func (a *Agent) concurrency(t core.Target) int {
	if e, ok := a.Snapshot().Entry(t); ok && e.Limits.Concurrency > 0 {
		return e.Limits.Concurrency
	}
	return defaultConcurrency
}

func (a *Agent) serviceConcurrency() int {
	if p, ok := a.Snapshot().Pool(a.Service); ok && p.Limits.Concurrency > 0 {
		return p.Limits.Concurrency
	}
	return math.MaxInt
}

// start hands a popped request to the upstream. A request that is suspected of
// crashing engines waits until it can run alone, and others wait while it does;
// start returns false where nothing that follows may start either.
func (a *Agent) start(now time.Time, r *run) bool {
	verdict := a.gate.MayRun(now, r.call.Fingerprint, r.head.GetTrial(), a.inFlight())
	switch verdict.Action {
	case strike.Deny:
		a.queue.Finish(now, r.id, queue.Failed)
		a.end(r, now, verdict.Refusal)
		return true
	case strike.Wait:
		a.queue.Finish(now, r.id, queue.Failed)
		a.held = append(a.held, r)
		return a.book.Find(now, r.call.Fingerprint).Standing == strike.Suspect
	}
	use, ok := a.beginUse(now, r)
	if !ok {
		a.queue.Finish(now, r.id, queue.Failed)
		a.end(r, now, core.RefuseUntil(core.CodeLoadFailed, "the model was unloaded", now.Add(time.Second)))
		return true
	}
	l := a.lane(r.target)
	l.waiting--
	r.waiting = false
	l.running++
	a.inWork++
	a.useBegins(now, r.target, core.Class(r.head.GetClass()))
	r.cold, r.loading, r.started = l.cold, l.loading, now
	if l.waiting == 0 {
		l.cold = false
	}
	r.use = use
	r.alone = verdict.Alone
	r.epoch = a.state.Epoch
	a.begin(r, now)
	return true
}

func (a *Agent) beginUse(now time.Time, r *run) (ledger.Use, bool) {
	if a.Plain {
		return ledger.Use{}, true
	}
	return a.ledger.Begin(now, r.target.Model)
}

func (a *Agent) inFlight() []core.Fingerprint {
	var list []core.Fingerprint
	for _, r := range a.live {
		if r.began {
			list = append(list, r.call.Fingerprint)
		}
	}
	return list
}

// want has the lane's model loaded. A cold start needs no call of the platform:
// the grant is there already.
func (a *Agent) want(now time.Time, l *lane) {
	if a.Plain || a.ledger.Item(l.target.Model).State == core.Loaded && a.baseLoaded(l.target) {
		return
	}
	if !l.cold {
		l.cold = true
		l.loading = now
	}
	class, deadline := a.urgency(l)
	verdict := ledger.NoBase
	if l.target.Base == "" || a.baseLoaded(l.target) {
		verdict = a.loadItem(now, l.target.Model, l.target.Base, class, deadline)
	}
	if verdict == ledger.NoBase {
		verdict = a.loadItem(now, l.target.Base, "", class, deadline)
	}
	switch verdict {
	case ledger.NoMemory, ledger.TooLarge:
		a.refuseLane(now, l, core.CodeNoMemory, "no accelerator has room for "+l.name)
	case ledger.Ready, ledger.Loading, ledger.Evicting, ledger.Unloading, ledger.NotReady:
		a.queue.SetReady(now, l.name, a.readyAt(now, l))
		loop.Poke(a.orders)
	}
}

// readyAt foresees when a lane can start work: the measured load times of what
// is missing, from when its load began.
func (a *Agent) readyAt(now time.Time, l *lane) time.Time {
	at := now
	for _, name := range itemsOf(l.target) {
		i := a.ledger.Item(name)
		if i.State == core.Loaded {
			continue
		}
		from := now
		if i.State == core.Loading {
			from = i.Since
		}
		took, known := a.warm.LoadTime(name)
		if end := from.Add(took); known && end.After(at) {
			at = end
		}
	}
	return at
}

// urgency is the class and the earliest deadline of what waits in a lane.
func (a *Agent) urgency(l *lane) (core.Class, time.Time) {
	class, deadline := core.Overnight, time.Time{}
	for _, r := range a.live {
		if r.target != l.target || r.began {
			continue
		}
		class = min(class, core.Class(r.head.GetClass()))
		if at := relay.Time(r.head.GetDeadline()); deadline.IsZero() || at.Before(deadline) {
			deadline = at
		}
	}
	return class, deadline
}

// loadItem asks the ledger for one item. One that comes from the weight store
// first needs leave to read there.
func (a *Agent) loadItem(now time.Time, name, base core.ModelName, class core.Class, deadline time.Time) ledger.Verdict {
	e, ok := a.Snapshot().Model(name)
	if !ok {
		return ledger.NotReady
	}
	tier := a.tier(name)
	if tier == core.TierStore && a.ledger.Rebuilt() && a.ledger.Item(name).State == core.Absent && !a.leaveTo(now, name, base, class, deadline) {
		return ledger.Loading
	}
	verdict := a.ledger.Load(now, ledger.LoadRequest{
		Name: name, Base: base, Bytes: e.Memory, Accelerators: e.Accelerators, Source: tier,
	}, func(name core.ModelName) float64 { return a.keep(now, name) })
	if verdict == ledger.Evicting {
		a.noteEvicted(now, name)
	}
	return verdict
}

// noteEvicted tells of the items that leave from this moment on for another.
func (a *Agent) noteEvicted(now time.Time, wanted core.ModelName) {
	for _, i := range a.ledger.Items() {
		if i.State == core.Unloading && i.Since.Equal(now) {
			a.Meter.Unload(meter.UnloadEvicted)
			events.Log(events.Evicted, "model", i.Name, "host", a.Host, "for", wanted)
		}
	}
}

// tier is where the engine's host finds a checkpoint.
func (a *Agent) tier(name core.ModelName) core.Tier {
	for _, c := range a.state.Copies {
		if c.Name == name {
			return c.Tier
		}
	}
	return core.TierStore
}

// keep scores an item for eviction: what requests wait for stays, and among the
// rest the policy of keeping models loaded decides.
func (a *Agent) keep(now time.Time, name core.ModelName) float64 {
	if a.wanted(name) {
		return math.Inf(1)
	}
	return a.warm.Score(now, name)
}

// refuseLane refuses all waiting requests of a lane, so that their entries try
// another host now and not after a deadline.
func (a *Agent) refuseLane(now time.Time, l *lane, code core.Code, reason string) {
	for _, r := range a.live {
		if r.target == l.target && !r.began {
			a.queue.Remove(r.id)
			a.end(r, now, core.RefuseUntil(code, reason, now.Add(time.Second)))
		}
	}
	l.cold = false
}

// finish takes a run's end from its goroutine.
func (a *Agent) finish(r *run, refusal *core.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	end := queue.Served
	switch {
	case refusal != nil:
		end = queue.Failed
	case r.cold:
		end = queue.ServedCold
	}
	a.queue.Finish(now, r.id, end)
	l := a.lane(r.target)
	l.running--
	a.inWork--
	a.useEnds(now, r.target)
	if !a.Plain {
		a.ledger.End(now, r.use)
	}
	if refusal == nil {
		if record, ok := a.gate.RecordEnd(now, r.call.Fingerprint, r.alone); ok {
			go a.Spread([]strike.Record{record})
		}
	}
	a.end(r, now, refusal)
	if refusal != nil && refusal.Outcome == core.MayHaveRun {
		events.Log(events.RequestMayHaveRun, "request", r.id, "code", refusal.Code, "reason", refusal.Reason)
	}
	a.schedule(now)
	loop.Poke(a.alarm)
}

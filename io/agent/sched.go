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

// lane holds the counts of the requests for one model, adapter or plain service.
type lane struct {
	name    string
	target  core.Target
	waiting int
	running int
	// cold is set if the waiting requests wait, or have waited, for a load.
	cold bool
	// coldSince is when the requests began to wait for that load.
	coldSince time.Time
}

func (a *Agent) lane(t core.Target) *lane {
	l := a.lanes[t.Name()]
	if l == nil {
		l = &lane{name: t.Name(), target: t}
		a.lanes[t.Name()] = l
	}
	return l
}

// schedule dispatches the requests that may start and orders the loads that
// waiting requests need. The caller holds mu.
func (a *Agent) schedule(now time.Time) {
	a.expireQueued(now)
	a.startTrialWaiters(now)
	for {
		item, ok := a.queue.Pop(now, func(name string) int { return a.freeCapacity(a.lanes[name]) })
		a.expireQueued(now)
		if !ok || !a.start(now, a.byID[item.ID]) {
			break
		}
	}
	for _, l := range a.lanes {
		if l.waiting > 0 {
			a.requestLoad(now, l)
		}
	}
}

func (a *Agent) expireQueued(now time.Time) {
	for _, refused := range a.queue.Expire(now) {
		a.endRefused(now, refused)
	}
}

// startTrialWaiters tries again to start the requests that wait for a trial.
func (a *Agent) startTrialWaiters(now time.Time) {
	waiters := a.trialWaiters
	a.trialWaiters = nil
	for i, r := range waiters {
		switch {
		case !r.ended.IsZero():
		case !now.Before(relay.Time(r.head.GetDeadline())):
			a.end(r, now, core.Refuse(core.CodeDeadline, "the deadline passed while the request waited for a trial"))
		case a.freeCapacity(a.lane(r.target)) <= 0:
			a.trialWaiters = append(a.trialWaiters, r)
		case !a.start(now, r):
			a.trialWaiters = append(a.trialWaiters, waiters[i+1:]...)
			return
		}
	}
}

// freeCapacity returns how many more of the lane's requests may start.
func (a *Agent) freeCapacity(l *lane) int {
	if !a.reachable || !a.Plain && (a.ledger.Item(l.target.Model).State != core.Loaded || !a.baseLoaded(l.target)) {
		return 0
	}
	return min(a.concurrency(l.target)-l.running, a.serviceConcurrency()-a.active)
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

// start dispatches a request taken from the queue. A request that is suspected of
// crashing engines waits until it can run alone, and others wait while it does.
// start returns false if no other request may start either.
func (a *Agent) start(now time.Time, r *run) bool {
	verdict := a.gate.MayRun(now, r.call.Fingerprint, r.head.GetTrial(), a.inFlightFingerprints())
	switch verdict.Action {
	case strike.Deny:
		a.queue.Finish(now, r.id, queue.Failed)
		a.end(r, now, verdict.Refusal)
		return true
	case strike.Wait:
		a.queue.Finish(now, r.id, queue.Failed)
		a.trialWaiters = append(a.trialWaiters, r)
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
	a.active++
	a.warmBegin(now, r.target, core.Class(r.head.GetClass()))
	r.cold, r.coldSince, r.started = l.cold, l.coldSince, now
	if l.waiting == 0 {
		l.cold = false
	}
	r.use = use
	r.alone = verdict.Alone
	r.epoch = a.state.Epoch
	a.dispatch(r, now)
	return true
}

func (a *Agent) beginUse(now time.Time, r *run) (ledger.Use, bool) {
	if a.Plain {
		return ledger.Use{}, true
	}
	return a.ledger.Begin(now, r.target.Model)
}

func (a *Agent) inFlightFingerprints() []core.Fingerprint {
	var list []core.Fingerprint
	for _, r := range a.live {
		if r.dispatched {
			list = append(list, r.call.Fingerprint)
		}
	}
	return list
}

// requestLoad orders the load of the lane's model, and of its base first. A cold
// start makes no call to the platform, since the grant exists already.
func (a *Agent) requestLoad(now time.Time, l *lane) {
	if a.Plain || a.ledger.Item(l.target.Model).State == core.Loaded && a.baseLoaded(l.target) {
		return
	}
	if !l.cold {
		l.cold = true
		l.coldSince = now
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
		a.queue.SetReady(now, l.name, a.estimateReady(now, l))
		loop.Wake(a.driveWake)
	}
}

// estimateReady returns when a lane's requests are expected to start: the start
// of the missing items' loads plus their measured load times.
func (a *Agent) estimateReady(now time.Time, l *lane) time.Time {
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

// urgency returns the most urgent class and the earliest deadline of the
// requests that wait in a lane.
func (a *Agent) urgency(l *lane) (core.Class, time.Time) {
	class, deadline := core.Overnight, time.Time{}
	for _, r := range a.live {
		if r.target != l.target || r.dispatched {
			continue
		}
		class = min(class, core.Class(r.head.GetClass()))
		if at := relay.Time(r.head.GetDeadline()); deadline.IsZero() || at.Before(deadline) {
			deadline = at
		}
	}
	return class, deadline
}

// loadItem asks the ledger to load one item. An item that is read from the weight
// store needs a slot first.
func (a *Agent) loadItem(now time.Time, name, base core.ModelName, class core.Class, deadline time.Time) ledger.Verdict {
	e, ok := a.Snapshot().Model(name)
	if !ok {
		return ledger.NotReady
	}
	tier := a.tier(name)
	if tier == core.TierStore && a.ledger.Rebuilt() && a.ledger.Item(name).State == core.Absent && !a.ensureSlot(now, name, base, class, deadline) {
		return ledger.Loading
	}
	verdict := a.ledger.Load(now, ledger.LoadRequest{
		Name: name, Base: base, Bytes: e.Memory, Accelerators: e.Accelerators, Source: tier,
	}, func(name core.ModelName) float64 { return a.keepScore(now, name) })
	if verdict == ledger.Evicting {
		a.recordEvictions(now, name)
	}
	return verdict
}

// recordEvictions logs and counts the items that are unloaded from now on to make
// room for wanted.
func (a *Agent) recordEvictions(now time.Time, wanted core.ModelName) {
	for _, i := range a.ledger.Items() {
		if i.State == core.Unloading && i.Since.Equal(now) {
			a.Meter.Unload(meter.UnloadEvicted)
			events.Log(events.Evicted, "model", i.Name, "host", a.Host, "for", wanted)
		}
	}
}

// tier returns the nearest storage tier that holds an item's checkpoint for the
// engine's host.
func (a *Agent) tier(name core.ModelName) core.Tier {
	for _, c := range a.state.Copies {
		if c.Name == name {
			return c.Tier
		}
	}
	return core.TierStore
}

// keepScore returns how much an item is worth keeping loaded; the item with the
// lowest score is evicted first. An item that requests wait for stays; for the
// others the warm policy decides.
func (a *Agent) keepScore(now time.Time, name core.ModelName) float64 {
	if a.hasWaiting(name) {
		return math.Inf(1)
	}
	return a.warm.Score(now, name)
}

// refuseLane refuses all waiting requests of a lane, so that their entries try
// another host at once instead of after a deadline.
func (a *Agent) refuseLane(now time.Time, l *lane, code core.Code, reason string) {
	for _, r := range a.live {
		if r.target == l.target && !r.dispatched {
			a.queue.Remove(r.id)
			a.end(r, now, core.RefuseUntil(code, reason, now.Add(time.Second)))
		}
	}
	l.cold = false
}

// finish records the end of a dispatched run. The run's goroutine calls it.
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
	a.active--
	a.warmEnd(now, r.target)
	if !a.Plain {
		a.ledger.End(now, r.use)
	}
	if refusal == nil {
		if record, ok := a.gate.RecordEnd(now, r.call.Fingerprint, r.alone); ok {
			go a.BroadcastStrikes([]strike.Record{record})
		}
	}
	a.end(r, now, refusal)
	if refusal != nil && refusal.Outcome == core.MayHaveRun {
		events.Log(events.RequestMayHaveRun, "request", r.id, "code", refusal.Code, "reason", refusal.Reason)
	}
	a.schedule(now)
	loop.Wake(a.deadlineWake)
}

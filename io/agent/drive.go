package agent

import (
	"context"
	"errors"
	"time"

	"radishwell/core"
	"radishwell/core/ledger"
	"radishwell/core/strike"
	"radishwell/io/awake"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
)

const (
	// idlePollInterval is the time between two state reports while nothing
	// changes. busyPollInterval applies while requests run: their progress shows
	// which connection has gone silent.
	idlePollInterval = time.Second
	busyPollInterval = 300 * time.Millisecond
	// minLoadPollInterval is the shortest time between two reports, used while a
	// load is in progress: an adapter loads within a few milliseconds. For a load
	// that takes longer the interval is a loadPollDivisor-th of its age, up to
	// maxLoadPollInterval.
	minLoadPollInterval = 2 * time.Millisecond
	maxLoadPollInterval = 100 * time.Millisecond
	loadPollDivisor     = 16
	// stateTimeout bounds one call for a report, orderTimeout one order.
	stateTimeout = 2 * time.Second
	orderTimeout = 5 * time.Second
	// diagnoseTimeout bounds the state call to an upstream that lost a request or whose
	// answer ended without framing.
	diagnoseTimeout = 500 * time.Millisecond
)

// drive polls the engine for reports and sends it the ledger's orders. It is the
// only sender of orders and sends one at a time.
func (a *Agent) drive(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var polled time.Time
	for {
		select {
		case <-timer.C:
		case <-a.driveWake:
		case <-ctx.Done():
			return nil
		}
		// A report runs schedule, which wakes this loop again while requests wait
		// for a load. Without a minimum interval, a hundred requests that waited
		// for a load kept a core busy with reports.
		if now := a.Clock.Now(); !now.Before(polled.Add(minLoadPollInterval)) {
			a.poll(ctx)
			polled = now
		}
		a.releaseGrants(ctx)
		if err := a.sendOrders(ctx); err != nil {
			return err
		}
		timer.Reset(a.pollInterval())
	}
}

// poll reads one report and applies it.
func (a *Agent) poll(ctx context.Context) {
	a.mu.Lock()
	a.ledger.ChecksFence = a.checksFence()
	ticket := a.ledger.NewTicket(a.Clock.Now())
	a.mu.Unlock()
	call, stop := awake.WithTimeout(ctx, stateTimeout)
	state, err := a.Engine.State(call)
	stop()
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.setReachable(err)
	if err != nil || a.Plain {
		return
	}
	before, rebuilt := a.ledger.Items(), a.ledger.Rebuilt()
	if !a.ledger.Report(now, ticket, state) {
		return
	}
	sameEpoch := a.state.Epoch == state.Epoch
	if a.state.Epoch != 0 && !sameEpoch {
		events.Log(events.EngineRestarted, "host", a.Host)
	}
	a.state = state
	a.recordItemChanges(now, before, rebuilt, sameEpoch)
	a.redialStalled(now)
	a.schedule(now)
}

// setReachable records whether the upstream responded to a state call.
func (a *Agent) setReachable(err error) {
	reached := err == nil
	if reached {
		a.readyOnce.Do(func() { close(a.ready) })
	}
	if reached == a.reachable {
		return
	}
	if reached {
		a.reachable = true
		events.Log(events.EngineBack, "host", a.Host)
		return
	}
	a.markUnreachable(err)
}

// markUnreachable records that the upstream does not respond and refuses
// waiting requests, so that entries try other hosts. Otherwise the requests
// queued behind a crash would be sent to a dead engine one after the other, and
// each would get a strike for the failure of the next.
func (a *Agent) markUnreachable(err error) {
	if a.reachable {
		events.Fail(events.EngineUnreachable, err, "host", a.Host)
	}
	a.reachable = false
	now := a.Clock.Now()
	for _, r := range a.live {
		if !r.dispatched {
			a.queue.Remove(r.id)
			a.end(r, now, a.unreachableRefusal(now))
		}
	}
	loop.Wake(a.driveWake)
}

func (a *Agent) unreachableRefusal(now time.Time) *core.Refusal {
	return core.RefuseUntil(core.CodeUpstreamLost, "the upstream does not answer", now.Add(time.Second))
}

func (a *Agent) checksFence() bool {
	p, ok := a.Snapshot().Pool(a.Service)
	return ok && p.ChecksFence
}

// recordItemChanges logs and measures what a report has changed.
func (a *Agent) recordItemChanges(now time.Time, before []ledger.Info, rebuilt, sameEpoch bool) {
	old := map[core.ModelName]ledger.Info{}
	for _, i := range before {
		old[i.Name] = i
	}
	for _, i := range a.ledger.Items() {
		was := old[i.Name]
		delete(old, i.Name)
		if i.State == core.Loaded && was.State != core.Loaded {
			a.logCorrection(i.Name, was.Name == "" && rebuilt)
			a.recordLoaded(now, i, was)
		}
	}
	for name, was := range old {
		switch was.State {
		case core.Loading:
			a.Meter.Load(a.tier(name), false, was.Since, now)
			events.Log(events.LoadFailed, "model", name, "host", a.Host)
			a.endSlot(now, name, false)
			a.refuseFailedLoad(now, name)
		case core.Unloading:
			events.Log(events.Unloaded, "model", name, "host", a.Host)
		case core.Loaded:
			a.logCorrection(name, sameEpoch)
		}
	}
}

// logCorrection logs that the engine loaded or dropped an item without an order.
func (a *Agent) logCorrection(name core.ModelName, unasked bool) {
	if unasked {
		events.Log(events.LedgerCorrected, "model", name, "host", a.Host)
	}
}

func (a *Agent) recordLoaded(now time.Time, i, was ledger.Info) {
	since := was.Since
	if since.IsZero() {
		since = now
	}
	a.Meter.Load(a.tier(i.Name), true, since, now)
	a.registerItem(i.Name)
	a.warm.NoteLoad(i.Name, now.Sub(since))
	a.endSlot(now, i.Name, true)
	events.Log(events.LoadFinished, "model", i.Name, "host", a.Host, "took", now.Sub(since).String())
}

// refuseFailedLoad refuses the requests that waited for a load, so that entries
// try another granted host within the callers' deadlines.
func (a *Agent) refuseFailedLoad(now time.Time, name core.ModelName) {
	for _, l := range a.lanes {
		if l.target.Model == name || l.target.Base == name {
			a.refuseLane(now, l, core.CodeLoadFailed, "the load of "+string(name)+" failed")
		}
	}
}

// redialStalled finds connections to the engine that have gone silent: nothing
// has arrived for stallTimeout, although the engine has produced more of the
// answer or no longer lists a run that it listed before. A run of a slow model
// doesn't match, since the engine lists it and has produced no more either.
func (a *Agent) redialStalled(now time.Time) {
	listed := map[core.RequestID]int64{}
	for _, e := range a.state.Runs {
		listed[e.ID] = e.Emitted
	}
	for _, r := range a.live {
		if !r.dispatched {
			continue
		}
		emitted, running := listed[r.id]
		silent := running && emitted > r.received.Load() || !running && r.listed
		r.listed = r.listed || running
		if silent && now.Sub(time.Unix(0, r.lastByte.Load())) >= stallTimeout {
			a.redial(r)
		}
	}
}

// redial closes a run's connection to the engine; the run then resumes over a
// new one.
func (a *Agent) redial(r *run) {
	closing := r.closeConn.Swap(nil)
	if closing == nil {
		return
	}
	a.Meter.SilentConnection()
	events.Log(events.ConnectionSilent, "host", a.Host, "request", r.id)
	go (*closing)()
}

// sendOrders sends orders until the ledger has none to send.
func (a *Agent) sendOrders(ctx context.Context) error {
	if a.Plain {
		return nil
	}
	for ctx.Err() == nil {
		a.mu.Lock()
		order, ok := a.ledger.Next(a.Clock.Now())
		fenced := a.ledger.Superseded()
		a.mu.Unlock()
		if fenced {
			events.Log(events.OrderStale, "host", a.Host)
			return &FencedError{Host: a.Host}
		}
		if !ok {
			return nil
		}
		a.send(ctx, order)
	}
	return nil
}

func (a *Agent) send(ctx context.Context, o ledger.Order) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	var err error
	if o.Kind == ledger.LoadItem {
		events.Log(events.LoadStarted, "model", o.Load.Name, "host", a.Host, "source", o.Load.Source)
		err = a.Engine.Load(ctx, o.Load)
	} else {
		err = a.Engine.Unload(ctx, o.Unload)
	}
	reply := ledger.Reply{}
	if err != nil {
		reply = ledger.Reply{Failed: true, Fault: core.EngineLost}
		var fault *core.EngineError
		if errors.As(err, &fault) {
			reply.Fault = fault.Fault
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Answer(a.Clock.Now(), reply)
}

// pollInterval returns the time until the next report.
func (a *Agent) pollInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	pause := idlePollInterval
	if a.active > 0 || !a.reachable {
		pause = busyPollInterval
	}
	if a.Plain {
		return pause
	}
	for _, i := range a.ledger.Items() {
		if i.State == core.Loading || i.State == core.Unloading {
			age := now.Sub(i.Since)
			pause = min(pause, max(minLoadPollInterval, min(maxLoadPollInterval, age/loadPollDivisor)))
		}
	}
	if !a.ledger.Rebuilt() {
		pause = min(pause, maxLoadPollInterval)
	}
	return pause
}

// releaseGrants unloads items whose grants are revoked and releases each grant
// once its item is proven absent.
func (a *Agent) releaseGrants(ctx context.Context) {
	if a.Plain {
		return
	}
	a.unloadUngranted()
	for _, name := range a.Revoked() {
		a.mu.Lock()
		now := a.Clock.Now()
		gone := a.ledger.Unload(now, name) && a.ledger.ProvenAbsent(name)
		a.mu.Unlock()
		if !gone {
			continue
		}
		if err := a.Release(ctx, name); err == nil {
			events.Log(events.GrantReleased, "model", name, "host", a.Host)
		}
	}
}

// unloadUngranted unloads items that this host certainly has no grant for. That
// happens if the host was reclaimed and came back under its old name with its
// engine still running.
func (a *Agent) unloadUngranted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	for _, i := range a.ledger.Items() {
		state, certain := a.Grant(i.Name)
		if !certain || state != "" || i.State != core.Loaded || i.Users > 0 {
			continue
		}
		if a.ledger.Unload(now, i.Name) {
			a.Meter.Unload(meter.UnloadRevoked)
			loop.Wake(a.driveWake)
		}
	}
}

// mayUse reports whether this host may serve an item: its grant is active or, if
// the newest grant is not known for certain, the engine holds the item already.
// A loaded item was granted and has not been released, since a release follows
// the unload.
func (a *Agent) mayUse(name core.ModelName) bool {
	state, ok := a.Grant(name)
	if ok {
		return state == core.GrantActive
	}
	return a.ledger.Item(name).State == core.Loaded
}

// diagnose finds out whether the engine crashed when a request was lost, and if
// so records a strike for every request that was in it. The strikes are sent to
// peers before the request is answered, since its caller may send it to another
// entry at once.
func (a *Agent) diagnose(ctx context.Context, r *run) {
	call, stop := awake.WithTimeout(context.WithoutCancel(ctx), diagnoseTimeout)
	state, err := a.Engine.State(call)
	stop()
	var fault *core.EngineError
	unreached := errors.As(err, &fault) && fault.Fault != core.EngineRejected
	restarted := err == nil && !a.Plain && state.Epoch != r.epoch
	if !unreached && !restarted {
		return
	}
	records := a.strikeAll(r, err)
	if len(records) > 0 {
		a.BroadcastStrikes(records)
	}
}

// strikeAll records one strike per crash of the engine for each request that was
// in it. It returns no records if the crash was recorded before.
func (a *Agent) strikeAll(r *run, err error) []strike.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.struck || !a.reachable && r.epoch == a.crashedEpoch {
		// The crash has been recorded for all requests that were in the engine
		// then. Requests sent to the dead engine since did not cause it.
		return nil
	}
	a.crashedEpoch = r.epoch
	a.markUnreachable(err)
	var fingerprints []core.Fingerprint
	var lost []*run
	for _, o := range a.live {
		if o.dispatched && !o.struck && o.epoch == r.epoch {
			o.struck = true
			fingerprints = append(fingerprints, o.call.Fingerprint)
			lost = append(lost, o)
		}
	}
	records := a.book.RecordCrash(a.Clock.Now(), fingerprints)
	for _, o := range lost {
		o.strikes = records
	}
	a.Meter.Strike(false)
	events.Log(events.RequestStruck, "host", a.Host, "in-flight", len(fingerprints), "lost", r.id, "cause", err)
	return records
}

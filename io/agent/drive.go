package agent

import (
	"context"
	"errors"
	"time"

	"radishwell/core"
	"radishwell/core/ledger"
	"radishwell/core/strike"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
)

const (
	// pollIdle is the time between two reports while nothing changes, pollWork
	// while requests run: their progress shows which connection went silent.
	pollIdle = time.Second
	pollWork = 300 * time.Millisecond
	// pollLoad is the least time between two reports while a load is under way.
	// An adapter arrives within a handful of milliseconds; a load that has taken
	// longer is asked for in steps of a sixteenth of its age.
	pollLoad     = 2 * time.Millisecond
	pollLoadMost = 100 * time.Millisecond
	loadSteps    = 16
	// stateTime bounds one call for a report, orderTime one order.
	stateTime = 2 * time.Second
	orderTime = 5 * time.Second
	// diagnoseTime bounds the look at an engine that lost a request.
	diagnoseTime = 500 * time.Millisecond
)

// drive asks the engine for reports and sends it the ledger's orders. It is the
// only sender of orders, one at a time.
func (a *Agent) drive(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var polled time.Time
	for {
		select {
		case <-timer.C:
		case <-a.orders:
		case <-ctx.Done():
			return nil
		}
		// A report makes this loop's own waiting requests ask for orders again:
		// without the gap, a hundred requests that wait for a load kept a core
		// busy with reports.
		if now := a.Clock.Now(); !now.Before(polled.Add(pollLoad)) {
			a.poll(ctx)
			polled = now
		}
		a.releaseGrants(ctx)
		if err := a.sendOrders(ctx); err != nil {
			return err
		}
		timer.Reset(a.pollPause())
	}
}

// poll takes one report.
func (a *Agent) poll(ctx context.Context) {
	a.mu.Lock()
	a.ledger.ChecksFence = a.checksFence()
	ticket := a.ledger.NewTicket(a.Clock.Now())
	a.mu.Unlock()
	call, stop := context.WithTimeout(ctx, stateTime)
	state, err := a.Engine.State(call)
	stop()
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.noteReached(err)
	if err != nil || a.Plain {
		return
	}
	before, rebuilt := a.ledger.Items(), a.ledger.Rebuilt()
	if !a.ledger.Report(now, ticket, state) {
		return
	}
	sameLife := a.state.Epoch == state.Epoch
	if a.state.Epoch != 0 && !sameLife {
		events.Log(events.EngineRestarted, "host", a.Host)
	}
	a.state = state
	a.noteItems(now, before, rebuilt, sameLife)
	a.noteStalls(now)
	a.schedule(now)
}

// noteReached keeps whether the upstream answers at all.
func (a *Agent) noteReached(err error) {
	reached := err == nil
	if reached {
		a.once.Do(func() { close(a.ready) })
	}
	if reached == a.reached {
		return
	}
	if reached {
		a.reached = true
		events.Log(events.EngineBack, "host", a.Host)
		return
	}
	a.lostEngine(err)
}

// lostEngine notes that the upstream does not answer, and refuses what waits,
// so that entries try other hosts. Without it the requests behind a crash are
// sent to a dead engine one after the other, and each is blamed for the next.
func (a *Agent) lostEngine(err error) {
	if a.reached {
		events.Fail(events.EngineUnreachable, err, "host", a.Host)
	}
	a.reached = false
	now := a.Clock.Now()
	for _, r := range a.live {
		if !r.began {
			a.queue.Remove(r.id)
			a.end(r, now, a.unreached(now))
		}
	}
	loop.Poke(a.orders)
}

func (a *Agent) unreached(now time.Time) *core.Refusal {
	return core.RefuseUntil(core.CodeUpstreamLost, "the upstream does not answer", now.Add(time.Second))
}

func (a *Agent) checksFence() bool {
	p, ok := a.Snapshot().Pool(a.Service)
	return ok && p.ChecksFence
}

// noteItems logs and measures what a report has changed.
func (a *Agent) noteItems(now time.Time, before []ledger.Info, rebuilt, sameLife bool) {
	old := map[core.ModelName]ledger.Info{}
	for _, i := range before {
		old[i.Name] = i
	}
	for _, i := range a.ledger.Items() {
		was := old[i.Name]
		delete(old, i.Name)
		if i.State == core.Loaded && was.State != core.Loaded {
			a.corrected(i.Name, was.Name == "" && rebuilt)
			a.loaded(now, i, was)
		}
	}
	for name, was := range old {
		switch was.State {
		case core.Loading:
			a.Meter.Load(a.tier(name), false, was.Since, now)
			events.Log(events.LoadFailed, "model", name, "host", a.Host)
			a.endSlot(now, name, false)
			a.loadFailed(now, name)
		case core.Unloading:
			events.Log(events.Unloaded, "model", name, "host", a.Host)
		case core.Loaded:
			a.corrected(name, sameLife)
		}
	}
}

// corrected tells that the engine loaded or dropped an item without an order.
func (a *Agent) corrected(name core.ModelName, unasked bool) {
	if unasked {
		events.Log(events.LedgerCorrected, "model", name, "host", a.Host)
	}
}

func (a *Agent) loaded(now time.Time, i, was ledger.Info) {
	since := was.Since
	if since.IsZero() {
		since = now
	}
	a.Meter.Load(a.tier(i.Name), true, since, now)
	a.learn(i.Name)
	a.warm.Loaded(i.Name, now.Sub(since))
	a.endSlot(now, i.Name, true)
	events.Log(events.LoadFinished, "model", i.Name, "host", a.Host, "took", now.Sub(since).String())
}

// loadFailed refuses what waited for the load, so that entries try another
// granted host within the callers' deadlines.
func (a *Agent) loadFailed(now time.Time, name core.ModelName) {
	for _, l := range a.lanes {
		if l.target.Model == name || l.target.Base == name {
			a.refuseLane(now, l, core.CodeLoadFailed, "the load of "+string(name)+" failed")
		}
	}
}

// noteStalls finds connections to the engine that have gone silent: nothing has
// arrived for a while, though the engine has produced more of the answer, or
// has ended a run that it listed before. A slow model is not mistaken for one:
// it is listed and has produced nothing more either.
func (a *Agent) noteStalls(now time.Time) {
	listed := map[core.RequestID]int64{}
	for _, e := range a.state.Runs {
		listed[e.ID] = e.Emitted
	}
	for _, r := range a.live {
		if !r.began {
			continue
		}
		emitted, running := listed[r.id]
		silent := running && emitted > r.received.Load() || !running && r.listed
		r.listed = r.listed || running
		if silent && now.Sub(time.Unix(0, r.moved.Load())) >= stallTime {
			a.redial(r)
		}
	}
}

// redial closes a run's connection to the engine; the run then goes on over a
// new one.
func (a *Agent) redial(r *run) {
	closing := r.redial.Swap(nil)
	if closing == nil {
		return
	}
	a.Meter.SilentConnection()
	events.Log(events.ConnectionSilent, "host", a.Host, "request", r.id)
	go (*closing)()
}

// sendOrders sends the ledger's orders until it has no more at present.
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
	ctx, stop := context.WithTimeout(ctx, orderTime)
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

// pollPause returns how long until the next report is wanted.
func (a *Agent) pollPause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	pause := pollIdle
	if a.inWork > 0 || !a.reached {
		pause = pollWork
	}
	if a.Plain {
		return pause
	}
	for _, i := range a.ledger.Items() {
		if i.State == core.Loading || i.State == core.Unloading {
			age := now.Sub(i.Since)
			pause = min(pause, max(pollLoad, min(pollLoadMost, age/loadSteps)))
		}
	}
	if !a.ledger.Rebuilt() {
		pause = min(pause, pollLoadMost)
	}
	return pause
}

// releaseGrants gives up grants that were revoked, once the item has left.
func (a *Agent) releaseGrants(ctx context.Context) {
	if a.Plain {
		return
	}
	a.dropUngranted()
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

// dropUngranted unloads what this host certainly has no grant for, as after it
// was reclaimed and came back under its old name with its engine still running.
func (a *Agent) dropUngranted() {
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
			loop.Poke(a.orders)
		}
	}
}

// mayUse tells whether this host may serve an item: it is granted, or, where
// the newest grant is not known for certain, the engine holds it already. What
// is loaded was granted and has not been released, since a release comes after
// the unload.
func (a *Agent) mayUse(name core.ModelName) bool {
	state, ok := a.Grant(name)
	if ok {
		return state == core.GrantActive
	}
	return a.ledger.Item(name).State == core.Loaded
}

// diagnose finds out whether a request that was lost took its engine along, and
// gives strikes to all that were in it. The strikes go out before the request
// is answered: its caller may send it again to another entry at once.
func (a *Agent) diagnose(ctx context.Context, r *run) {
	call, stop := context.WithTimeout(context.WithoutCancel(ctx), diagnoseTime)
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
		a.Spread(records)
	}
}

// strikeAll gives one strike for each crash of the engine to all requests that
// were in it.
func (a *Agent) strikeAll(r *run, err error) []strike.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.struck || !a.reached && r.epoch == a.crashed {
		// The crash has been counted, with all that were in the engine then;
		// what was sent to the dead engine since had no part in it.
		return nil
	}
	a.crashed = r.epoch
	a.lostEngine(err)
	var prints []core.Fingerprint
	var lost []*run
	for _, o := range a.live {
		if o.began && !o.struck && o.epoch == r.epoch {
			o.struck = true
			prints = append(prints, o.call.Fingerprint)
			lost = append(lost, o)
		}
	}
	records := a.book.RecordCrash(a.Clock.Now(), prints)
	for _, o := range lost {
		o.strikes = records
	}
	a.Meter.Strike()
	events.Log(events.RequestStruck, "host", a.Host, "in-flight", len(prints))
	return records
}

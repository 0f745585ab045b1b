package driver

import (
	"context"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/wire"
)

// maxWait bounds how long a call that waits for a change, or for an adapter, is held.
const maxWait = 2 * time.Second

// ServeUpstream serves an entry's poll for the upstream's state. It returns once the
// state differs from the one that the entry has seen, or after the wait in the call, up
// to maxWait. The error is always nil.
func (d *Driver) ServeUpstream(c *wire.UpstreamCall) (*wire.UpstreamReply, error) {
	d.recordCall(c)
	timer := time.NewTimer(min(time.Duration(c.GetWait()), maxWait))
	defer timer.Stop()
	for {
		d.mu.Lock()
		news := d.change != c.GetSeen()
		changed := d.changed
		d.mu.Unlock()
		if news {
			return d.reply(c), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return d.reply(c), nil
		}
	}
}

// recordCall records the contents of an entry's poll.
func (d *Driver) recordCall(c *wire.UpstreamCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if old := d.entries[c.GetEntry()]; old == nil || old.control != c.GetControl() {
		d.entriesVersion++
	}
	e := &entryState{
		control: c.GetControl(), lastCall: now, demands: c.GetDemands(), tellsDemands: c.GetTellsDemands() || len(c.GetDemands()) > 0, active: c.GetActive(),
		planner: c.GetPlanner(), plannerControl: c.GetPlannerControl(),
	}
	if e.planner == "" {
		e.planner, e.plannerControl = c.GetEntry(), c.GetControl()
	}
	d.entries[c.GetEntry()] = e
	listed := fleet.Incarnation{ID: core.HostName(c.GetInstance()), Born: c.GetBorn()}
	if d.state.ID == "" && listed.Born == d.state.Born && d.incarnations.NoteListed(now, listed) {
		// The registry still lists incarnations that have ended. The current one is the
		// one whose start time matches the upstream's report.
		d.notify()
	}
	d.recordWanted(c)
	for _, u := range c.GetUsed() {
		d.lastUsed[u] = now
	}
	d.choosePlanner(now)
	if era := c.GetStoreEra(); era > d.storeEra {
		d.storeEra = era
		if d.OnRestore != nil {
			d.OnRestore(era)
		}
	}
}

// choosePlanner chooses the planner: of the entries that the live entries name as
// planners, the first by name. All agents that the same entries poll choose the same
// planner; if their choices differ for a while, each upstream still has only one planner.
// The caller holds mu.
func (d *Driver) choosePlanner(now time.Time) {
	planner, control := "", ""
	if len(d.entries) > 0 && d.chooseAfter.IsZero() {
		d.chooseAfter = now.Add(gatherDelay)
	}
	for name, e := range d.entries {
		if now.Sub(e.lastCall) > entryTimeout {
			delete(d.entries, name)
			d.entriesVersion++
			continue
		}
		if planner == "" || e.planner < planner {
			planner, control = e.planner, e.plannerControl
		}
	}
	switch {
	case planner == "":
		d.chooseAfter = time.Time{}
	case now.Before(d.chooseAfter):
		return
	}
	d.plannerControl = control
	if planner != d.planner {
		events.Log(events.PlannerChanged, "planner", planner, "before", d.planner)
		d.planner = planner
		d.notify()
	}
}

func (d *Driver) reply(c *wire.UpstreamCall) *wire.UpstreamReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.choosePlanner(now)
	out := &wire.UpstreamReply{Change: d.change, Report: d.report(now), Planner: d.planner, PlannerControl: d.plannerControl}
	d.addCached(c, out)
	out.EntriesVersion = d.entriesVersion
	if c.GetSeenEntries() != d.entriesVersion {
		for name, e := range d.entries {
			out.Entries = append(out.Entries, &wire.EntryAddress{Name: name, Control: e.control})
		}
	}
	if !c.GetOthers() {
		return out
	}
	for name, e := range d.entries {
		if name != c.GetEntry() && e.tellsDemands {
			out.Others = append(out.Others, &wire.EntryDemand{Entry: name, Age: int64(now.Sub(e.lastCall)), Demands: e.demands})
		}
	}
	return out
}

// report returns the upstream's state as entries receive it. The caller holds mu.
func (d *Driver) report(now time.Time) *wire.UpstreamReport {
	s := d.state
	out := &wire.UpstreamReport{
		Instance: string(d.incarnations.Current()), Busy: s.Busy || d.loading.model != "" || d.goal != nil, Leaving: s.Leaving,
		InMemory: core.Strings(s.InMemory), OnDisk: core.Strings(s.OnDisk), Waiting: uint32(s.Waiting), Running: uint32(s.Running),
		Reading: s.PrefillTokens, Age: int64(now.Sub(d.reportedAt)), Reachable: !d.lost && !d.reportedAt.IsZero(), Lost: d.lost,
		Ended: core.Strings(d.incarnations.Ended(now)),
		Pace:  peer.EncodePace(d.pace.Pace()), Asking: d.room.asking(now), Free: peer.EncodeFree(s.FreeMemory()),
		Loading: string(d.loading.model), Born: s.Born, Limited: s.Limit.Limited, Rate: s.Limit.Rate,
	}
	if d.loading.model != "" {
		out.LoadLeft = int64(d.loading.expected.Sub(now))
	}
	active := d.active()
	for _, m := range s.Models {
		if d.goal.evicts(m.Model) {
			continue // entries send no more requests for a model that will be unloaded
		}
		out.Models = append(out.Models, &wire.HeldModel{Model: string(m.Model), Version: m.Version, Adapters: m.Adapters, Active: active[string(m.Model)]})
	}
	return out
}

// active returns the number of requests in progress of all entries, by model. The
// caller holds mu.
func (d *Driver) active() map[string]uint32 {
	sum := map[string]uint32{}
	for _, e := range d.entries {
		for _, a := range e.active {
			sum[a.GetModel()] += a.GetCount()
		}
	}
	return sum
}

// ServeGoal accepts a goal from the planner, or returns the reason why not. The error
// is always nil.
func (d *Driver) ServeGoal(c *wire.GoalCall) (*wire.GoalReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.choosePlanner(now)
	switch {
	case c.GetEntry() != d.planner:
		return &wire.GoalReply{Reason: "this agent follows " + d.planner}, nil
	case core.HostName(c.GetInstance()) != d.incarnations.Current():
		return &wire.GoalReply{Reason: "the upstream is " + string(d.incarnations.Current())}, nil
	case d.goal != nil || d.loading.model != "":
		return &wire.GoalReply{Reason: "another goal is under way"}, nil
	}
	g := &goal{
		load: core.ModelName(c.GetLoad()), evict: core.Names[core.ModelName](c.GetEvict()), onlyIfIdle: c.GetIdle(), limits: c.GetLimits(),
		startBy: now.Add(goalTimeout), evictAt: now.Add(evictNotice), loadTime: time.Duration(c.GetTakes()),
	}
	d.goal = g
	d.notify()
	loop.Wake(d.wake)
	events.Log(events.GoalTaken, "planner", d.planner, "load", g.load, "evict", g.evict)
	return &wire.GoalReply{Taken: true}, nil
}

// ServeAdapter loads an adapter and returns once it is loaded, or with the reason why
// not. It waits at most the time in the call, up to maxWait. The error is always nil.
func (d *Driver) ServeAdapter(c *wire.AdapterCall) (*wire.AdapterReply, error) {
	ctx, stop := context.WithTimeout(context.Background(), min(time.Duration(c.GetWait()), maxWait))
	defer stop()
	reason, err := d.loadAdapter(ctx, c)
	if err != nil {
		return &wire.AdapterReply{Reason: err.Error()}, nil
	}
	return &wire.AdapterReply{Loaded: reason == "", Reason: reason}, nil
}

// adapterPollInterval is the time between two reads of the upstream's report while an
// adapter is loading, which takes 5 to 10 ms from an idle store.
const adapterPollInterval = 8 * time.Millisecond

// loadAdapter loads an adapter. It returns the reason why it can't be loaded, or an
// empty string once it is loaded.
func (d *Driver) loadAdapter(ctx context.Context, c *wire.AdapterCall) (string, error) {
	for {
		d.poll(ctx)
		done, reason := d.loadAdapterStep(ctx, c)
		if done || reason != "" {
			return reason, nil
		}
		timer := time.NewTimer(adapterPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return "", context.Cause(ctx)
		case <-timer.C:
		}
	}
}

// loadAdapterStep sends the next order needed to load the adapter, if any.
func (d *Driver) loadAdapterStep(ctx context.Context, c *wire.AdapterCall) (done bool, reason string) {
	d.orderLock.lock()
	defer d.orderLock.unlock()
	o, done, reason := d.adapterOrder(c)
	if done || reason != "" || o.Model == "" {
		return done, reason
	}
	result, err := d.sendOrder(ctx, o)
	if err == nil && (result == core.OrderStale || result == core.OrderOtherIncarnation || result == core.OrderRejected) {
		return false, "the upstream's answer to the order is " + result.String()
	}
	// The next order needs a report that shows this one.
	d.poll(ctx)
	return false, ""
}

// adapterOrder returns the next order needed to load an adapter; its model is empty if
// there is none to send yet, for instance while the adapter is loading. done is set if
// the adapter is loaded, reason if it can't be.
func (d *Driver) adapterOrder(c *wire.AdapterCall) (o core.UpstreamOrder, done bool, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	model, adapter := core.ModelName(c.GetModel()), c.GetAdapter()
	d.lastUsed[string(model)+"/"+adapter] = d.Clock.Now()
	i := slices.IndexFunc(d.state.Models, func(m core.HeldModel) bool { return m.Model == model })
	switch {
	case core.HostName(c.GetInstance()) != d.incarnations.Current():
		return o, false, "the upstream is " + string(d.incarnations.Current())
	case i < 0:
		return o, false, "the model is not held"
	case slices.Contains(d.state.Models[i].Adapters, adapter):
		return o, true, ""
	case slices.Contains(d.state.IncomingAdapters, string(model)+"/"+adapter), d.failures > 0, d.isStale():
		return o, false, ""
	case d.state.Busy, d.goal != nil, d.loading.model != "":
		// The upstream carries out one order at a time, and a load from the weight store
		// takes seconds, so the entry should try another host.
		return o, false, "the upstream carries out another order"
	}
	o, ok := d.newOrder()
	if !ok {
		return core.UpstreamOrder{}, false, "the agent has no fencing number yet"
	}
	count := len(d.state.IncomingAdapters)
	for _, m := range d.state.Models {
		count += len(m.Adapters)
	}
	if count < int(c.GetLimits().GetAdapterPlaces()) && d.fits(c.GetLimits(), model, adapter) {
		o.Model, o.Adapter = model, adapter
		return o, false, ""
	}
	victim, name := d.leastRecentlyUsed()
	if name == "" {
		return core.UpstreamOrder{}, false, "there is no place for another adapter"
	}
	o.Unload, o.Model, o.Adapter = true, victim, name
	return o, false, ""
}

// leastRecentlyUsed returns the loaded adapter whose last request is the longest ago.
// The caller holds mu.
func (d *Driver) leastRecentlyUsed() (model core.ModelName, adapter string) {
	var oldest time.Time
	for _, m := range d.state.Models {
		for _, a := range m.Adapters {
			at := d.lastUsed[string(m.Model)+"/"+a]
			if adapter == "" || at.Before(oldest) {
				model, adapter, oldest = m.Model, a, at
			}
		}
	}
	return model, adapter
}

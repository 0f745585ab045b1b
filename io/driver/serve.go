package driver

import (
	"context"
	"slices"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/wire"
)

// mostWait bounds how long a question for changes is held back.
const mostWait = 2 * time.Second

// ServeUpstream answers an entry's question for the upstream's state, once it
// differs from the one that the entry has seen.
func (d *Driver) ServeUpstream(c *wire.UpstreamCall) (*wire.UpstreamReply, error) {
	d.note(c)
	timer := time.NewTimer(min(time.Duration(c.GetWait()), mostWait))
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

// note takes in what the entry says.
func (d *Driver) note(c *wire.UpstreamCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if old := d.entries[c.GetEntry()]; old == nil || old.control != c.GetControl() {
		d.entriesVersion++
	}
	e := &caller{
		control: c.GetControl(), at: now, demands: c.GetDemands(), active: c.GetActive(),
		planner: c.GetPlanner(), plannerControl: c.GetPlannerControl(),
	}
	if e.planner == "" {
		e.planner, e.plannerControl = c.GetEntry(), c.GetControl()
	}
	d.entries[c.GetEntry()] = e
	life := fleet.Life{ID: core.HostName(c.GetInstance()), Born: c.GetBorn()}
	if d.state.ID == "" && life.Born == d.state.Born && d.lives.Named(now, life) {
		// The registry still lists lives that have ended; only the one that was
		// born when the upstream says it was is its own.
		d.tell()
	}
	for _, u := range c.GetUsed() {
		d.used[u] = now
	}
	d.choosePlanner(now)
}

// choosePlanner follows the first by name of the entries that plan as the callers see
// it. All agents that the same entries reach follow the same one; where they differ
// for a while, each upstream still has one planner.
func (d *Driver) choosePlanner(now time.Time) {
	planner, control := "", ""
	if len(d.entries) > 0 && d.gathered.IsZero() {
		d.gathered = now.Add(gatherTime)
	}
	for name, e := range d.entries {
		if now.Sub(e.at) > followTime {
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
		d.gathered = time.Time{}
	case now.Before(d.gathered):
		return
	}
	d.plannerControl = control
	if planner != d.planner {
		events.Log(events.PlannerChanged, "planner", planner, "before", d.planner)
		d.planner = planner
		d.tell()
	}
}

func (d *Driver) reply(c *wire.UpstreamCall) *wire.UpstreamReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.choosePlanner(now)
	out := &wire.UpstreamReply{Change: d.change, Report: d.report(now), Planner: d.planner, PlannerControl: d.plannerControl}
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
		if name != c.GetEntry() {
			out.Others = append(out.Others, &wire.EntryDemand{Entry: name, Age: int64(now.Sub(e.at)), Demands: e.demands})
		}
	}
	return out
}

// report returns the upstream's report. The caller holds mu.
func (d *Driver) report(now time.Time) *wire.UpstreamReport {
	s := d.state
	out := &wire.UpstreamReport{
		Instance: string(d.lives.Current()), Busy: s.Busy || d.loading.model != "" || d.goal != nil, Leaving: s.Leaving,
		InMemory: core.Strings(s.InMemory), OnDisk: core.Strings(s.OnDisk), Waiting: uint32(s.Waiting), Running: uint32(s.Running),
		Reading: s.PrefillTokens, Age: int64(now.Sub(d.taken)), Reachable: !d.lost && !d.taken.IsZero(), Lost: d.lost,
		Ended:   core.Strings(d.lives.Ended(now)),
		Loading: string(d.loading.model), Born: s.Born, Limited: s.Limit.Limited, Rate: s.Limit.Rate,
	}
	if d.loading.model != "" {
		out.LoadLeft = int64(d.loading.by.Sub(now))
	}
	active := d.active()
	for _, m := range s.Models {
		if d.goal.gives(m.Model) {
			continue // no more requests for what goes
		}
		out.Models = append(out.Models, &wire.HeldModel{Model: string(m.Model), Version: m.Version, Adapters: m.Adapters, Active: active[string(m.Model)]})
	}
	return out
}

// active sums the entries' requests in progress by model. The caller holds mu.
func (d *Driver) active() map[string]uint32 {
	sum := map[string]uint32{}
	for _, e := range d.entries {
		for _, a := range e.active {
			sum[a.GetModel()] += a.GetCount()
		}
	}
	return sum
}

// ServeGoal takes a goal from the planner.
func (d *Driver) ServeGoal(c *wire.GoalCall) (*wire.GoalReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.choosePlanner(now)
	switch {
	case c.GetEntry() != d.planner:
		return &wire.GoalReply{Reason: "this agent follows " + d.planner}, nil
	case core.HostName(c.GetInstance()) != d.lives.Current():
		return &wire.GoalReply{Reason: "the upstream is " + string(d.lives.Current())}, nil
	case d.goal != nil || d.loading.model != "":
		return &wire.GoalReply{Reason: "another goal is under way"}, nil
	}
	g := &goal{
		load: core.ModelName(c.GetLoad()), evict: core.Names[core.ModelName](c.GetEvict()), idle: c.GetIdle(), limits: c.GetLimits(),
		until: now.Add(goalTime), evictAt: now.Add(evictNotice), takes: time.Duration(c.GetTakes()),
	}
	d.goal = g
	d.tell()
	loop.Poke(d.kick)
	events.Log(events.GoalTaken, "planner", d.planner, "load", g.load, "evict", g.evict)
	return &wire.GoalReply{Taken: true}, nil
}

// ServeAdapter has an adapter loaded and answers once it is.
func (d *Driver) ServeAdapter(c *wire.AdapterCall) (*wire.AdapterReply, error) {
	ctx, stop := context.WithTimeout(context.Background(), min(time.Duration(c.GetWait()), mostWait))
	defer stop()
	reason, err := d.fetch(ctx, c)
	if err != nil {
		return &wire.AdapterReply{Reason: err.Error()}, nil
	}
	return &wire.AdapterReply{Loaded: reason == "", Reason: reason}, nil
}

// adapterPoll is how often the upstream's report is read while an adapter is on
// its way, which takes it five to ten milliseconds from an idle store.
const adapterPoll = 8 * time.Millisecond

// fetch has an adapter loaded. It returns why it cannot be, empty once it is.
func (d *Driver) fetch(ctx context.Context, c *wire.AdapterCall) (string, error) {
	for {
		d.poll(ctx)
		done, reason := d.fetchStep(ctx, c)
		if done || reason != "" {
			return reason, nil
		}
		timer := time.NewTimer(adapterPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return "", context.Cause(ctx)
		case <-timer.C:
		}
	}
}

// fetchStep sends the next order that brings the adapter nearer.
func (d *Driver) fetchStep(ctx context.Context, c *wire.AdapterCall) (done bool, reason string) {
	d.ordering.take()
	defer d.ordering.give()
	o, done, reason := d.adapterOrder(c)
	if done || reason != "" || o.Model == "" {
		return done, reason
	}
	result, err := d.order(ctx, o)
	if err == nil && (result == core.OrderStale || result == core.OrderOtherInstance || result == core.OrderRejected) {
		return false, "the upstream's answer to the order is " + result.String()
	}
	// The next order rests on a report that knows of this one.
	d.poll(ctx)
	return false, ""
}

// adapterOrder returns the order to send next, none while the adapter is on its
// way.
func (d *Driver) adapterOrder(c *wire.AdapterCall) (o core.UpstreamOrder, done bool, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	model, adapter := core.ModelName(c.GetModel()), c.GetAdapter()
	d.used[string(model)+"/"+adapter] = d.Clock.Now()
	i := slices.IndexFunc(d.state.Models, func(m core.HeldModel) bool { return m.Model == model })
	switch {
	case core.HostName(c.GetInstance()) != d.lives.Current():
		return o, false, "the upstream is " + string(d.lives.Current())
	case i < 0:
		return o, false, "the model is not held"
	case slices.Contains(d.state.Models[i].Adapters, adapter):
		return o, true, ""
	case slices.Contains(d.state.IncomingAdapters, string(model)+"/"+adapter), d.failures > 0, d.rests():
		return o, false, ""
	case d.state.Busy, d.goal != nil, d.loading.model != "":
		// The upstream takes one order at a time, and a load from the weight store
		// lasts seconds: the entry does better to look elsewhere.
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
	victim, name := d.idlest()
	if name == "" {
		return core.UpstreamOrder{}, false, "there is no place for another adapter"
	}
	o.Unload, o.Model, o.Adapter = true, victim, name
	return o, false, ""
}

// idlest returns the loaded adapter whose last request is longest ago. The
// caller holds mu.
func (d *Driver) idlest() (model core.ModelName, adapter string) {
	var oldest time.Time
	for _, m := range d.state.Models {
		for _, a := range m.Adapters {
			at := d.used[string(m.Model)+"/"+a]
			if adapter == "" || at.Before(oldest) {
				model, adapter, oldest = m.Model, a, at
			}
		}
	}
	return model, adapter
}

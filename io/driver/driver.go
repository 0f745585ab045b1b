package driver

import (
	"context"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/io/events"
	"radishwell/io/meter"
	"radishwell/wire"
)

const (
	// idlePoll and busyPoll are how often the upstream's report is read, which
	// costs nothing from its own host: the second while an order is in progress or
	// the last reading failed, so that requests that wait learn of a load, and of a
	// crash, within a twentieth of a second.
	idlePoll = 150 * time.Millisecond
	busyPoll = 40 * time.Millisecond
	// remoteTimes is how many times as long the pauses are where the upstream is on
	// another host.
	remoteTimes = 3
	// reportLag is how old a report may be that is asked for from another host.
	reportLag = 150 * time.Millisecond
	// followTime is how long an entry counts as there after its last call. Entries
	// call twice a second.
	followTime = 1500 * time.Millisecond
	// gatherTime is how long after the first call of an entry the others have to
	// call before one is followed: entries start at about the same time, and each
	// would plan for a moment.
	gatherTime = 400 * time.Millisecond
	// goalTime is how long a goal is followed: one that could not begin by then
	// was decided on what no longer holds.
	goalTime = 5 * time.Second
	// evictNotice is how long entries have to learn that a model goes before its
	// unload is ordered: from then on the upstream turns its requests away.
	evictNotice = 60 * time.Millisecond
	// lostAfter is how many reports in a row have to fail before the upstream
	// counts as out of reach.
	lostAfter = 3
)

// Driver drives one upstream. Set the exported fields before Run.
type Driver struct {
	Self     core.HostName
	Upstream core.Managed
	Clock    core.Clock
	Meter    *meter.Meter
	// Remote tells that the upstream is on another host, so that each look at its report
	// is paid for.
	Remote bool
	// Fence returns the fencing number of this agent's orders; false before it has
	// one.
	Fence func() (core.Fence, bool)

	// ordering keeps the report that an order rests on and the order together.
	ordering turn
	// reading keeps reports in the order in which they were given: one that counts
	// fewer orders than the one before is another life's.
	reading turn

	mu       sync.Mutex
	state    core.UpstreamState
	taken    time.Time
	failures int
	lost     bool
	// resting is when a report has to be asked for to know of the last order.
	resting time.Time
	lives   fleet.Lives
	change  uint64
	changed chan struct{}
	// kick has Run look at once.
	kick    chan struct{}
	entries map[string]*caller
	// entriesVersion grows with each entry that comes or goes.
	entriesVersion uint64
	// gathered is when an entry may be followed; zero while none calls.
	gathered time.Time
	planner  string
	// plannerControl is where it takes calls.
	plannerControl string
	goal           *goal
	loading        loading
	// toldQueue is the length of the upstream's queue when entries were told.
	toldQueue int
	// sizes are the models' sizes that callers named last.
	sizes map[core.ModelName]*wire.ModelSize
	// used is when requests for an adapter were last seen, by MODEL/NAME.
	used map[string]time.Time
}

// turn is held by one goroutine at a time, also across calls of the upstream. It is
// no mutex since synthetic time stands still while a goroutine waits for one.
type turn chan struct{}

func (t turn) take() { t <- struct{}{} }
func (t turn) give() { <-t }

// caller is an entry that calls this agent.
type caller struct {
	control string
	at      time.Time
	// planner is the entry that plans, as the caller sees it: a relay that another leads,
	// or itself.
	planner, plannerControl string
	demands                 []*wire.ModelDemand
	active                  []*wire.ModelActive
}

// goal is what the planner wants the upstream to do next.
type goal struct {
	load   core.ModelName
	evict  []core.ModelName
	limits *wire.UpstreamLimits
	// evictAt is when unloads may begin, until when the goal has to have begun.
	evictAt, until time.Time
	takes          time.Duration
	// idle tells that the goal is void if what it gives up is in use.
	idle bool
}

// gives tells whether the goal gives a model up.
func (g *goal) gives(model core.ModelName) bool { return g != nil && slices.Contains(g.evict, model) }

// loading is the load in progress.
type loading struct {
	model core.ModelName
	began time.Time
	by    time.Time
	from  core.Tier
}

// Start makes the driver ready for calls.
func (d *Driver) Start() {
	d.changed = make(chan struct{})
	d.kick = make(chan struct{}, 1)
	d.ordering, d.reading = make(turn, 1), make(turn, 1)
	d.entries = map[string]*caller{}
	d.used = map[string]time.Time{}
	d.sizes = map[core.ModelName]*wire.ModelSize{}
}

// Run reads the upstream's reports and carries out goals until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	for {
		d.poll(ctx)
		if d.step(ctx) {
			continue // the next part of a goal need not wait for the next look
		}
		timer := time.NewTimer(d.pause())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-d.kick:
			timer.Stop()
		}
	}
}

func (d *Driver) pause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	idlePoll, busyPoll := idlePoll, busyPoll
	if d.Remote {
		idlePoll, busyPoll = remoteTimes*idlePoll, remoteTimes*busyPoll
	}
	if d.goal != nil || d.loading.model != "" || d.state.Busy || d.failures > 0 && !d.lost {
		return busyPoll
	}
	return idlePoll
}

// poll reads the upstream's report.
func (d *Driver) poll(ctx context.Context) {
	d.reading.take()
	defer d.reading.give()
	asked := d.Clock.Now()
	state, err := d.Upstream.State(ctx)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choosePlanner(asked)
	if err != nil {
		d.failed(err)
		return
	}
	d.failures = 0
	if d.lost {
		d.lost = false
		events.Log(events.EngineBack)
		d.tell()
	}
	d.take(state, asked)
}

// failed notes a report that could not be read. The caller holds mu.
func (d *Driver) failed(err error) {
	d.failures++
	if d.failures == lostAfter {
		d.lost = true
		events.Fail(events.EngineUnreachable, err)
		d.tell()
	}
}

// take takes in a report. The caller holds mu.
func (d *Driver) take(s core.UpstreamState, at time.Time) {
	old := d.state
	if !d.taken.IsZero() && old.Restarted(s) {
		events.Log(events.EngineRestarted, "born", s.Born, "before", old.Born, "orders", s.Orders, "orders-before", old.Orders, "instance", d.lives.Current())
		d.endLife(at)
	}
	d.state, d.taken = s, at
	if s.ID != "" {
		d.lives.Said(fleet.Life{ID: s.ID, Born: s.Born})
	}
	d.checkLoad(s, at)
	if q := queue(s); q != d.toldQueue {
		// A long prompt's reading keeps the next one waiting for a quarter of a second.
		d.toldQueue = q
		d.tell()
	}
	if s.Leaving != old.Leaving || s.Limit != old.Limit || s.Busy != old.Busy || !core.EqualModels(s.Models, old.Models) {
		d.tell()
	}
}

// queue counts the requests that an upstream has to read before the next one.
func queue(s core.UpstreamState) int {
	if s.PrefillTokens > 0 {
		return s.Waiting + 1
	}
	return s.Waiting
}

// endLife notes that the upstream's life is over: the next one holds and knows
// nothing of before, so what was under way is void. The caller holds mu.
func (d *Driver) endLife(now time.Time) {
	d.lives.End(now)
	d.goal, d.loading = nil, loading{}
	d.tell()
}

// checkLoad notes the end of the load in progress. The caller holds mu.
func (d *Driver) checkLoad(s core.UpstreamState, now time.Time) {
	l := d.loading
	if l.model == "" {
		return
	}
	held := slices.ContainsFunc(s.Models, func(m core.HeldModel) bool { return m.Model == l.model })
	switch {
	case held:
		d.Meter.Load(l.from, true, l.began, now)
		events.Log(events.LoadFinished, "model", l.model, "took", now.Sub(l.began).Round(time.Millisecond), "from", l.from)
	case !s.Busy && now.Sub(l.began) > followTime:
		d.Meter.Load(l.from, false, l.began, now)
		events.Log(events.LoadFailed, "model", l.model, "took", now.Sub(l.began).Round(time.Millisecond))
	default:
		return
	}
	d.loading = loading{}
	d.tell()
}

// tell has entries learn of a change at once. The caller holds mu.
func (d *Driver) tell() {
	d.change++
	close(d.changed)
	d.changed = make(chan struct{})
}

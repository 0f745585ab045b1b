package driver

import (
	"context"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/credit"
	"radishwell/core/fleet"
	"radishwell/core/pace"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
	"radishwell/wire"
)

const (
	// idlePollInterval and busyPollInterval are the times between two reads of the
	// upstream's report, which cost nothing on the upstream's own host. The second
	// applies while an order is in progress or after a failed read, so that waiting
	// requests learn of a finished load, or of a crash, within 50 ms.
	//
	// readingPollInterval applies while the upstream reads prompts beside streams: what these
	// do in that time is its pace, and most prompts are read in less than a tenth of a second.
	// askedPollInterval applies while entries wait for its room.
	idlePollInterval    = 150 * time.Millisecond
	readingPollInterval = 60 * time.Millisecond
	askedPollInterval   = 30 * time.Millisecond
	busyPollInterval    = 40 * time.Millisecond
	// remotePollFactor multiplies the poll intervals if the upstream is on another
	// host.
	remotePollFactor = 3
	// remoteReportLag is how old a report read from another host may be when it
	// arrives.
	remoteReportLag = 150 * time.Millisecond
	// entryTimeout is how long an entry counts as live after its last poll. Entries poll
	// twice a second.
	entryTimeout = 1500 * time.Millisecond
	// gatherDelay is the time from the first poll of an entry to the choice of a planner.
	// Entries start at about the same time; without the delay each of them could be the
	// planner for a moment.
	gatherDelay = 400 * time.Millisecond
	// goalTimeout is the time within which a goal's load has to begin. After that
	// the goal is dropped, since it was decided on outdated reports.
	goalTimeout = 5 * time.Second
	// evictNotice is the time between the notice to entries that a model will be
	// unloaded and the unload order. After the order the upstream refuses requests for
	// the model.
	evictNotice = 60 * time.Millisecond
	// loadStartTimeout is the time after its order from which a load counts as failed
	// if the upstream reports neither the model nor an order in progress.
	loadStartTimeout = 1500 * time.Millisecond
	// lostThreshold is the number of consecutive failed reads of the report after
	// which the upstream counts as lost.
	lostThreshold = 3
)

// Driver orders one upstream to load and unload. The exported fields are set
// before Start and not changed afterwards. The Serve methods are safe for
// concurrent use.
type Driver struct {
	Self     core.HostName
	Upstream core.Managed
	Clock    core.Clock
	Meter    *meter.Meter
	// Remote is set if the upstream is on another host, so that reading its report has
	// a cost and the report arrives late.
	Remote bool
	// Fence returns the fencing number of this agent's orders. It reports false
	// while the agent has none.
	Fence func() (core.Fence, bool)
	// OnRestore, if set, is called when an entry first reports an era of the platform's store
	// that is higher than all before.
	OnRestore func(era uint64)

	// orderLock is held from the choice of an order until its result is known, so
	// that no other order is sent on the same report.
	orderLock chanMutex
	// reportLock keeps reports in the order in which they were requested: one that counts
	// fewer orders than the one before is taken as that of a new incarnation.
	reportLock chanMutex

	mu sync.Mutex
	// state is the latest report, reportedAt when it was requested.
	state      core.UpstreamState
	reportedAt time.Time
	failures   int
	lost       bool
	// A report shows the effect of the last order if it was requested at
	// freshAfter or later.
	freshAfter time.Time
	// incarnations tracks the upstream's incarnations. An incarnation is one run of the
	// upstream's process, from its start to its crash or stop.
	incarnations fleet.IncarnationTracker
	// change counts the changes that entries are notified of; changed is closed
	// at the next one.
	change  uint64
	changed chan struct{}
	// wake makes Run poll at once.
	wake    chan struct{}
	entries map[string]*entryState
	// entriesVersion is incremented whenever an entry is added or removed.
	entriesVersion uint64
	// chooseAfter is when a planner may be chosen; zero while no entry polls.
	chooseAfter time.Time
	planner     string
	// plannerControl is the planner's control address.
	plannerControl string
	goal           *goal
	loading        loading
	// pace measures the upstream's current incarnation.
	pace   pace.Meter
	room   roomKeeper
	cached cachedParts
	// epoch distinguishes the numbers of this process's changes from those of the one before.
	epoch uint64
	// notifiedQueue is the length of the upstream's queue that entries were last
	// notified of.
	notifiedQueue int
	// sizes are the models' sizes as entries last gave them.
	sizes map[core.ModelName]*wire.ModelSize
	// storeEra is the highest era of the platform's store that an entry has reported.
	storeEra uint64
	// lastUsed is when requests for an adapter were last seen, by MODEL/NAME.
	lastUsed map[string]time.Time
}

// chanMutex is a mutex that is held during calls to the upstream. It is a channel
// because the synthetic clock of testing/synctest does not advance while a goroutine
// waits for a sync.Mutex.
type chanMutex chan struct{}

func (m chanMutex) lock()   { m <- struct{}{} }
func (m chanMutex) unlock() { <-m }

// entryState holds the contents of an entry's last poll.
type entryState struct {
	control  string
	lastCall time.Time
	// planner is the planner that the entry named, or the entry itself if it named none;
	// plannerControl is the planner's control address.
	planner, plannerControl string
	demands                 []*wire.ModelDemand
	// tellsDemands is set if demands is the entry's whole demand.
	tellsDemands bool
	active       []*wire.ModelActive
}

// goal is the planner's next step for the upstream: unload the models in evict,
// then load one.
type goal struct {
	load   core.ModelName
	evict  []core.ModelName
	limits *wire.UpstreamLimits
	// Unloads may be ordered from evictAt; the load has to begin before startBy.
	evictAt, startBy time.Time
	loadTime         time.Duration
	// onlyIfIdle is set if the goal is dropped when a model to evict is in use.
	onlyIfIdle bool
}

// evicts reports whether the goal unloads a model. It accepts a nil goal.
func (g *goal) evicts(model core.ModelName) bool { return g != nil && slices.Contains(g.evict, model) }

// loading is the model load in progress, if any.
type loading struct {
	model     core.ModelName
	startedAt time.Time
	// expected is when the load should end, from is the storage tier it reads from.
	expected time.Time
	from     core.Tier
}

// Start prepares the driver. It is called once, before Run and the Serve methods.
func (d *Driver) Start() {
	d.changed = make(chan struct{})
	d.wake = make(chan struct{}, 1)
	d.orderLock, d.reportLock = make(chanMutex, 1), make(chanMutex, 1)
	d.entries = map[string]*entryState{}
	d.lastUsed = map[string]time.Time{}
	d.sizes = map[core.ModelName]*wire.ModelSize{}
	d.epoch = newEpoch(d.Clock.Now())
	if !d.Remote {
		d.Meter.CachedParts(d.CachedLen)
		d.Meter.EnginePace(func() core.Pace {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.pace.Pace()
		})
	}
}

// Run reads the upstream's reports and carries out goals until ctx ends. It returns
// nil.
func (d *Driver) Run(ctx context.Context) error {
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		d.followCached(ctx)
	}()
	defer func() { <-followed }()
	for {
		d.poll(ctx)
		if d.advanceGoal(ctx) {
			continue // the goal's next order does not wait for the poll interval
		}
		if _, running := loop.Wait(ctx, d.wake, d.pollInterval()); !running {
			return nil
		}
	}
}

func (d *Driver) pollInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	idle, busy := idlePollInterval, busyPollInterval
	if d.Remote {
		idle, busy = remotePollFactor*idle, remotePollFactor*busy
	}
	if d.goal != nil || d.loading.model != "" || d.state.Busy || d.failures > 0 && !d.lost {
		return busy
	}
	switch {
	case d.Remote:
	case d.room.account.Len() > 0:
		return askedPollInterval
	case d.state.PrefillTokens > 0 && len(d.state.Streams) > 0:
		return readingPollInterval
	}
	return idle
}

// poll reads and applies the upstream's report.
func (d *Driver) poll(ctx context.Context) {
	d.reportLock.lock()
	defer d.reportLock.unlock()
	asked := d.Clock.Now()
	state, err := d.Upstream.State(ctx)
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choosePlanner(asked)
	if err != nil {
		d.recordFailure(err)
		return
	}
	d.failures = 0
	if d.lost {
		d.lost = false
		events.Log(events.EngineBack)
		d.notify()
	}
	d.applyReport(state, asked)
}

// recordFailure records a failed read of the report. The caller holds mu.
func (d *Driver) recordFailure(err error) {
	d.failures++
	if d.failures == lostThreshold {
		d.lost = true
		events.Fail(events.EngineUnreachable, err)
		d.notify()
	}
}

// applyReport applies a report that was requested at the given time. The caller
// holds mu.
func (d *Driver) applyReport(s core.UpstreamState, at time.Time) {
	old := d.state
	if !d.reportedAt.IsZero() && old.Restarted(s) {
		events.Log(events.EngineRestarted, "born", s.Born, "before", old.Born, "orders", s.Orders, "orders-before", old.Orders, "instance", d.incarnations.Current())
		d.endIncarnation(at)
	}
	d.state, d.reportedAt = s, at
	if s.ID != "" {
		d.incarnations.NoteReported(fleet.Incarnation{ID: s.ID, Born: s.Born})
	}
	d.pace.Observe(at, s.Streams, s.PrefillTokens > 0)
	d.room.account.Observe(at, s.PrefillTokens, int64(s.Waiting))
	d.grantRoom(at)
	d.checkLoad(s, at)
	if q := queueLength(s); q != d.notifiedQueue {
		// Entries should learn of this at once: while the upstream reads a long prompt,
		// the next one waits for a quarter of a second.
		d.notifiedQueue = q
		d.notify()
	}
	if s.Leaving != old.Leaving || s.Limit != old.Limit || s.Busy != old.Busy || !core.EqualModels(s.Models, old.Models) {
		d.notify()
	}
}

// queueLength returns the number of requests whose prompts the upstream has to read
// before that of the next one.
func queueLength(s core.UpstreamState) int {
	if s.PrefillTokens > 0 {
		return s.Waiting + 1
	}
	return s.Waiting
}

// endIncarnation records that the upstream's incarnation has ended. The next one starts
// empty, so the goal and the load in progress are dropped. The caller holds mu.
func (d *Driver) endIncarnation(now time.Time) {
	d.incarnations.End(now)
	d.goal, d.loading, d.pace, d.room.account = nil, loading{}, pace.Meter{}, credit.Account{}
	d.cached.end()
	d.notify()
}

// checkLoad records the end of the load in progress. The caller holds mu.
func (d *Driver) checkLoad(s core.UpstreamState, now time.Time) {
	l := d.loading
	if l.model == "" {
		return
	}
	held := slices.ContainsFunc(s.Models, func(m core.HeldModel) bool { return m.Model == l.model })
	switch {
	case held:
		d.Meter.Load(l.from, true, l.startedAt, now)
		events.Log(events.LoadFinished, "model", l.model, "took", now.Sub(l.startedAt).Round(time.Millisecond), "from", l.from)
	case !s.Busy && now.Sub(l.startedAt) > loadStartTimeout:
		d.Meter.Load(l.from, false, l.startedAt, now)
		events.Log(events.LoadFailed, "model", l.model, "took", now.Sub(l.startedAt).Round(time.Millisecond))
	default:
		return
	}
	d.loading = loading{}
	d.notify()
}

// notify wakes the polls of entries that wait for a change. The caller holds mu.
func (d *Driver) notify() {
	d.change++
	close(d.changed)
	d.changed = make(chan struct{})
}

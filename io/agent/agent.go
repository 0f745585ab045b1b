package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/dedupe"
	"radishwell/core/ledger"
	"radishwell/core/queue"
	"radishwell/core/slots"
	"radishwell/core/strike"
	"radishwell/core/warm"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
	"radishwell/io/spans"
	"radishwell/wire"
)

const (
	// maxRecords bounds the requests kept in the dedupe table, which serves
	// readers that reattach and entries that seal an attempt.
	maxRecords = 200_000
	// maxStrikes bounds the strike records kept.
	maxStrikes = 10_000
	// defaultConcurrency is the number of requests of one model that run at once
	// if the catalogue sets no limit. Engines batch about that many.
	defaultConcurrency = 64
)

// Agent implements the agent role. The exported fields are set before Init and
// not changed afterwards.
type Agent struct {
	// Host is the name of the upstream host; Service is the service that its
	// upstream belongs to.
	Host    core.HostName
	Service core.ServiceName
	// Plain is set if the upstream is a plain service, which takes no orders.
	Plain bool
	// Incarnation identifies this run of the agent's process.
	Incarnation core.Incarnation
	Engine      core.Engine
	Clock       core.Clock
	Meter       *meter.Meter
	Tracer      *spans.Tracer
	// Snapshot returns the catalogue in force.
	Snapshot func() *catlog.Snapshot
	// Grant returns the newest known state of this host's grant for an item. It
	// reports false for ok if that state may be older than a release that an
	// earlier process of this host made.
	Grant func(core.ModelName) (g core.GrantState, ok bool)
	// Release removes this host from an item's grant. It is called only when the
	// item is not on the host and cannot be loaded there any more.
	Release func(ctx context.Context, name core.ModelName) error
	// Revoked lists the items whose grant to this host has been revoked.
	Revoked func() []core.ModelName
	// BroadcastStrikes sends strikes to peers without waiting for the next exchange.
	BroadcastStrikes func([]strike.Record)
	// Slot asks the decider for a slot, the permission to read from the weight
	// store. Store holds the store's limits; Agents returns the number of
	// agents that share them, 0 if it is not known.
	Slot   func(context.Context, *wire.SlotCall) (*wire.SlotReply, error)
	Store  Store
	Agents func() int
	// Worth weighs the time that callers wait against idle accelerator time.
	Worth warm.Worth
	// Rand is the source of jitter.
	Rand *rand.Rand
	// KeptAnswers bounds the memory for answers of requests with an idempotency
	// key.
	KeptAnswers core.Bytes

	// mu guards the fields from ledger to lastPrewarm.
	mu     sync.Mutex
	ledger ledger.Ledger
	queue  queue.Queue
	table  dedupe.Table
	book   strike.Book
	gate   strike.Gate
	runs   map[dedupe.KeyID]*run
	byID   map[core.RequestID]*run
	// live holds the runs that have not ended. runs and byID also hold ended runs,
	// for readers that reconnect.
	live  map[core.RequestID]*run
	lanes map[string]*lane
	// trialWaiters are requests taken from the queue that may not start because
	// of a trial: a request suspected of crashing engines runs alone.
	trialWaiters []*run
	// active counts the requests sent to the upstream that have not ended.
	active int
	state  core.EngineState
	// reachable is set if the upstream responded to the last state call;
	// crashedEpoch is the epoch of the engine at its last crash.
	reachable    bool
	crashedEpoch uint64
	leaving      bool
	lastSweep    time.Time
	warm         warm.Policy
	slots        map[core.ModelName]*slot
	// localModels and localAdapters are this agent's shares of the store's
	// limits, which it uses while the decider does not respond.
	localModels   slots.Local
	localAdapters slots.Local
	lastReview    time.Time
	lastPrewarm   time.Time
	// driveWake wakes the goroutine that drives the engine, deadlineWake the one
	// that watches deadlines, and slotWake the one that asks for slots.
	driveWake    chan struct{}
	deadlineWake chan struct{}
	slotWake     chan struct{}
	baseCtx      context.Context
	background   sync.WaitGroup
	ready        chan struct{}
	readyOnce    sync.Once
}

// Init prepares the agent for requests. It is called once, before Run and before
// the handler serves requests. Runs are not cancelled with ctx but keep its
// values.
func (a *Agent) Init(ctx context.Context) {
	a.baseCtx = ctx
	a.table = dedupe.Table{Incarnation: a.Incarnation, MaxBytes: a.KeptAnswers, MaxRecords: maxRecords}
	a.queue = queue.Queue{Shared: !a.Plain}
	a.book = strike.Book{Self: a.Host, MaxRecords: maxStrikes}
	a.gate = strike.Gate{Book: &a.book}
	a.runs = map[dedupe.KeyID]*run{}
	a.byID = map[core.RequestID]*run{}
	a.live = map[core.RequestID]*run{}
	a.lanes = map[string]*lane{}
	a.driveWake = make(chan struct{}, 1)
	a.deadlineWake = make(chan struct{}, 1)
	a.ready = make(chan struct{})
	a.slotWake = make(chan struct{}, 1)
	a.slots = map[core.ModelName]*slot{}
	a.warm = warm.Policy{Worth: a.Worth}
	a.localModels = slots.Local{Rate: a.Store.Starts, Parallel: a.Store.Parallel, Random: a.Rand}
	a.localAdapters = slots.Local{Parallel: a.Store.Adapters, Random: a.Rand}
	a.registerGauges()
}

// Store holds the weight store's limits, which apply to the whole fleet.
type Store struct {
	// Starts is the number of model loads the store can start a second, Parallel
	// the number of model transfers it serves at full speed at once, and Adapters
	// that of adapter transfers.
	Starts   float64
	Parallel int
	Adapters int
}

// Ready returns a channel that is closed once the upstream has responded to a
// state call.
func (a *Agent) Ready() <-chan struct{} { return a.ready }

// Run drives the upstream until ctx ends. It returns a FencedError if another
// agent sends orders to the same engine.
func (a *Agent) Run(ctx context.Context) error {
	// The process holds its listen addresses exclusively by now, so no earlier
	// process that is still alive can send the engine an order after this.
	a.mu.Lock()
	a.ledger.Started = a.Clock.Now()
	a.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	loops := []func(context.Context) error{a.drive, a.watchDeadlines, a.askSlots}
	ended := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { ended <- loop(ctx) }()
	}
	err := <-ended
	stop()
	for range loops[1:] {
		<-ended
	}
	a.background.Wait()
	return err
}

// FencedError reports that another agent sends orders to this agent's engine.
type FencedError struct{ Host core.HostName }

// Error implements error.
func (e *FencedError) Error() string {
	return "another agent orders the engine of host " + string(e.Host)
}

// queueCheckInterval is the longest time between two checks of the queue.
const queueCheckInterval = time.Second

// watchDeadlines ends waiting requests whose deadline has passed and runs that
// have no readers any more, and reviews idle items, until ctx ends.
func (a *Agent) watchDeadlines(ctx context.Context) error {
	return loop.Run(ctx, a.Clock, a.deadlineWake, queueCheckInterval, func(now time.Time) time.Time {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.schedule(now)
		a.sweep(now)
		a.reviewItems(now)
		return a.queue.Next()
	})
}

// Leave makes the agent refuse new requests. Waiting requests are refused at
// once, so that entries try other hosts; running ones continue.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return
	}
	a.leaving = true
	events.Log(events.HostLeaving, "host", a.Host)
	now := a.Clock.Now()
	for _, r := range a.live {
		if !r.dispatched {
			a.queue.Remove(r.id)
			a.end(r, now, a.leavingRefusal(now))
		}
	}
}

func (a *Agent) leavingRefusal(now time.Time) *core.Refusal {
	r := core.RefuseUntil(core.CodeLeaving, "the host is leaving", now.Add(time.Second))
	r.Host = a.Host
	return r
}

// Idle reports whether no request is waiting, running or being read.
func (a *Agent) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.byID {
		if r.ended.IsZero() || r.readers > 0 {
			return false
		}
	}
	return true
}

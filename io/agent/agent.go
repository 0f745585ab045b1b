package agent

import (
	"context"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/catlog"
	"radishwell/core/dedupe"
	"radishwell/core/ledger"
	"radishwell/core/queue"
	"radishwell/io/events"
)

// Bounds of what an agent keeps.
const (
	// maxRecords bounds the requests remembered for attaching and sealing.
	maxRecords = 200_000
	// defaultConcurrency is how many requests of one model run at once where
	// the catalogue sets no limit: engines batch about that many.
	defaultConcurrency = 64
)

// Agent is the agent role. Set the exported fields before Run.
type Agent struct {
	// Host is the host's name, Service the service its upstream belongs to.
	Host    core.HostName
	Service core.ServiceName
	// Plain tells that the upstream is a plain service, which takes no orders.
	Plain bool
	// Incarnation tells this process from its predecessors.
	Incarnation core.Incarnation
	Engine      core.Engine
	Clock       core.Clock
	// Snapshot returns the catalogue in force; nil before there is one.
	Snapshot func() *catlog.Snapshot
	// Granted tells whether this host may load an item now.
	Granted func(core.ModelName) bool
	// KeptAnswers bounds the memory for answers of keyed requests.
	KeptAnswers core.Bytes
	// KeyAge is how long a keyed request is remembered.
	KeyAge time.Duration

	mu      sync.Mutex
	ledger  ledger.Ledger
	queue   queue.Queue
	table   dedupe.Table
	runs    map[dedupe.KeyID]*run
	byID    map[core.RequestID]*run
	state   core.EngineState
	reached bool
	leaving bool
	wake    chan struct{}
	alarm   chan struct{}
	started chan struct{}
	base    context.Context
	work    sync.WaitGroup
}

// Run drives the engine until the context ends. Requests may be handed over
// from the moment that Ready is closed.
func (a *Agent) Run(ctx context.Context) error {
	a.init(ctx)
	ended := make(chan struct{}, 2)
	go func() { a.drive(ctx); ended <- struct{}{} }()
	go func() { a.expire(ctx); ended <- struct{}{} }()
	events.Log(events.Started, "role", "agent", "host", a.Host)
	<-ended
	<-ended
	a.work.Wait()
	return nil
}

func (a *Agent) init(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.base = ctx
	a.ledger = ledger.Ledger{ChecksFence: a.checksFence(), Started: a.Clock.Now()}
	a.table = dedupe.Table{Incarnation: a.Incarnation, MaxBytes: a.KeptAnswers, MaxRecords: maxRecords}
	a.runs = map[dedupe.KeyID]*run{}
	a.byID = map[core.RequestID]*run{}
	a.wake = make(chan struct{}, 1)
	a.alarm = make(chan struct{}, 1)
}

func (a *Agent) checksFence() bool {
	s := a.Snapshot()
	if s == nil {
		return false
	}
	p, ok := s.Pool(a.Service)
	return ok && p.ChecksFence
}

// poke wakes a loop that waits on a channel of capacity one.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// expire ends waiting requests whose time has run out.
func (a *Agent) expire(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		a.mu.Lock()
		a.schedule(a.Clock.Now())
		next := a.queue.Next()
		a.mu.Unlock()
		wait := time.Second
		if !next.IsZero() {
			wait = min(wait, max(0, next.Sub(a.Clock.Now())))
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-a.alarm:
		case <-ctx.Done():
			return
		}
	}
}

package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/catlog"
	"radishwell/core/claims"
	"radishwell/core/member"
	"radishwell/core/queue"
	"radishwell/core/retry"
	"radishwell/core/route"
	"radishwell/core/strike"
	"radishwell/io/loop"
	"radishwell/io/meter"
	"radishwell/io/spans"
	"radishwell/wire"
)

const (
	// maxStrikes bounds the strikes that are kept.
	maxStrikes = 10_000
	// maxProven bounds the requests that are remembered as having ended well.
	maxProven = 50_000
	// minWindow is the lower bound of the number of requests that an entry may have in
	// progress for one target. The requests beyond that number are ordered here, among
	// all of the entry's classes and owners, and not at a single host.
	minWindow = 64
	// windowFactor is how many requests an entry sends to a target's hosts for each
	// that may run there, so that hosts are never idle while requests wait.
	windowFactor = 2
)

// Host is an upstream host as known to an entry.
type Host struct {
	Name        core.HostName
	DataCentre  core.DataCentre
	Work        netip.AddrPort
	Control     netip.AddrPort
	Health      route.Health
	Incarnation core.Incarnation
}

// Entry is the entry role. Set the exported fields before Run.
type Entry struct {
	Name       core.HostName
	DataCentre core.DataCentre
	Clock      core.Clock
	Meter      *meter.Meter
	Tracer     *spans.Tracer
	// Rand is the source of jitter and of claimants' numbers.
	Rand *rand.Rand
	// Snapshot returns the catalogue in force.
	Snapshot func() *catlog.Snapshot
	// Hosts lists the hosts that may serve a target at present, Find returns one host.
	Hosts func(core.Target) []Host
	Find  func(core.HostName) (Host, bool)
	// Share returns this entry's part of the limits.
	Share func() admit.Share
	// OnContact records in membership whether a host could be reached.
	OnContact func(member.Contact)
	// Probe asks a host for its load. Seal asks a host what became of an attempt and,
	// unless the call only peeks, seals an attempt that has not arrived, so that it
	// never runs.
	Probe func(ctx context.Context, h Host, names []core.ModelName) (*wire.HostLoad, error)
	Seal  func(ctx context.Context, h Host, c *wire.SealCall) (*wire.SealReply, error)
	// Claim records a keyed request's claim in its journal.
	Claim func(ctx context.Context, a claims.Submission) claims.Answer
	// KeyAge is how long an idempotency key is remembered after the deadline.
	KeyAge time.Duration
	Relay  *Relay
	// BroadcastStrikes sends strikes to all peers at once.
	BroadcastStrikes func([]strike.Record)
	// SendStrikes sends strikes to one host.
	SendStrikes func(core.HostName, []strike.Record)

	mu      sync.Mutex
	admit   admit.Limiter
	queue   queue.Queue
	router  route.Router
	budgets retry.Budgets
	book    strike.Book
	copies  strike.Copies
	hosts   map[core.HostName]*hostState
	waiters map[core.RequestID]*waiter
	lanes   map[string]*lane
	// running counts the requests that have started and have not ended.
	running   [core.ClassCount]int
	costs     map[core.ModelName]*[3]time.Duration
	histories histories
	historyMu sync.Mutex
	alarm     chan struct{}
	calls     sync.WaitGroup
}

// lane is the requests of one target at this entry.
type lane struct {
	target  core.Target
	running int
}

// waiter is a request in the queue.
type waiter struct {
	request core.Request
	// decided is closed when the request starts or is refused; refusal is set before in
	// the latter case.
	decided chan struct{}
	refusal *core.Refusal
}

// Init initialises the entry. It is called before Run and Serve.
func (e *Entry) Init() {
	e.router = route.Router{Seed: e.Rand.Uint64()}
	e.book = strike.Book{Self: e.Name, MaxRecords: maxStrikes}
	e.queue = queue.Queue{CheckHold: e.holdFor}
	e.copies = strike.Copies{MaxProven: maxProven}
	e.hosts = map[core.HostName]*hostState{}
	e.waiters = map[core.RequestID]*waiter{}
	e.lanes = map[string]*lane{}
	e.costs = map[core.ModelName]*[3]time.Duration{}
	e.alarm = make(chan struct{}, 1)
	for c := range core.ClassCount {
		e.Meter.Queue(c, func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.queue.Waiting(c)
		})
		e.Meter.Running(c, func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.running[c]
		})
	}
}

// Run refuses waiting requests when they expire, until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	return loop.Run(ctx, e.Clock, e.alarm, checkInterval, func(now time.Time) time.Time {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.schedule(now)
		return e.queue.Next()
	})
}

// checkInterval is the longest time between two checks of the queue.
const checkInterval = time.Second

// Idle reports whether no request is in progress.
func (e *Entry) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admit.Len() == 0
}

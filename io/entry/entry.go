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
	// maxStrikes bounds the strikes known.
	maxStrikes = 10_000
	// maxProven bounds the requests remembered as ending well.
	maxProven = 50_000
	// leastWindow is the least number of requests that an entry has in progress
	// for one target: what waits behind it is ordered here, by all of the
	// entry's classes and owners, and not at a single host.
	leastWindow = 64
	// windowFactor is how many requests an entry hands to a target's hosts for
	// each that may run there, so that hosts are never idle for want of work.
	windowFactor = 2
)

// Host is an upstream host as an entry sees it.
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
	// Hosts lists the hosts that may serve a target at present, Find one host.
	Hosts func(core.Target) []Host
	Find  func(core.HostName) (Host, bool)
	// Share is this entry's part of the limits.
	Share func() admit.Share
	// Noted tells membership how contact with a host went.
	Noted func(member.Contact)
	// Probe asks a host for its load, Seal what became of an attempt.
	Probe func(ctx context.Context, h Host, names []core.ModelName) (*wire.HostLoad, error)
	Seal  func(ctx context.Context, h Host, c *wire.SealCall) (*wire.SealReply, error)
	// Claim records a keyed request's claim in its journal.
	Claim func(ctx context.Context, a claims.Submission) claims.Answer
	// KeyAge is how long an idempotency key is remembered after the deadline.
	KeyAge time.Duration
	Relay  *Relay
	// Spread sends strikes to peers at once.
	Spread func([]strike.Record)
	// Tell sends strikes to one host.
	Tell func(core.HostName, []strike.Record)

	mu      sync.Mutex
	admit   admit.Admit
	queue   queue.Queue
	router  route.Router
	budgets retry.Budgets
	book    strike.Book
	copies  strike.Copies
	hosts   map[core.HostName]*hostState
	turns   map[core.RequestID]*turn
	lanes   map[string]*lane
	// running counts the requests handed on and not answered yet.
	running   [core.ClassCount]int
	costs     map[core.ModelName]*[3]time.Duration
	trails    trails
	trailLock sync.Mutex
	alarm     chan struct{}
	calls     sync.WaitGroup
}

// lane is the requests of one target at this entry.
type lane struct {
	target  core.Target
	running int
}

// turn is a request that waits for its turn.
type turn struct {
	request core.Request
	// given is closed when the request may go on; refusal is set before that
	// where it may not.
	given   chan struct{}
	refusal *core.Refusal
}

// Init prepares the entry for requests.
func (e *Entry) Init() {
	e.router = route.Router{Seed: e.Rand.Uint64()}
	e.book = strike.Book{Self: e.Name, MaxRecords: maxStrikes}
	e.queue = queue.Queue{May: e.may}
	e.copies = strike.Copies{MaxProven: maxProven}
	e.hosts = map[core.HostName]*hostState{}
	e.turns = map[core.RequestID]*turn{}
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

// Run ends waiting requests at their time until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	return loop.Run(ctx, e.Clock, e.alarm, tick, func(now time.Time) time.Time {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.schedule(now)
		return e.queue.Next()
	})
}

// tick is the longest time between two looks at the queue.
const tick = time.Second

// Idle reports whether no request is in progress.
func (e *Entry) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admit.Len() == 0
}

package proxy

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/cached"
	"radishwell/core/copies"
	"radishwell/core/demand"
	"radishwell/core/fleet"
	"radishwell/core/length"
	"radishwell/core/origin"
	"radishwell/core/parts"
	"radishwell/core/recent"
	"radishwell/core/rtable"
	"radishwell/core/strike"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
)

// Proxy serves callers' requests. Set the exported fields before use; its methods may
// be called from several goroutines.
type Proxy struct {
	Self       core.HostName
	DataCentre core.DataCentre
	Clock      core.Clock
	Protocol   core.Protocol
	Adapters   core.AdapterLoader
	// Rooms grants the room of engines to all entries; nil if this entry goes by what it knows
	// itself.
	Rooms core.Rooms
	// Managed, if set, returns the control interface of the upstream at an address, which is asked
	// whether the upstream responds while its agent is silent. If it is nil, an upstream counts as
	// silent when its agent is.
	Managed func(netip.AddrPort) core.Managed
	// Trials grants trials of requests that may crash upstreams; nil if this entry grants its own.
	Trials core.Trials
	Meter  *meter.Meter
	// Quotas counts customers' use of their allowances; nil if nothing is counted.
	Quotas core.Quotas
	// Pacer spaces requests to upstreams that name a rate limit; nil if they are not
	// spaced.
	Pacer core.Pacer
	// OnRateLimit, if set, is called for each answer in which an upstream names a rate
	// limit, and once when the upstream no longer names one.
	OnRateLimit func(inc fleet.Incarnation, limit core.RateLimit)
	// OnLeaving, if set, is called once an upstream states in an answer that it is
	// leaving.
	OnLeaving func(inc fleet.Incarnation)
	// OnStrikes, if set, is called when there are new strikes, or records of parts of prompts, to
	// send to other entries.
	OnStrikes func()
	// Origins exchanges with other entries where streams began; nil if there are none. Software is the
	// platform's record of software versions, and SavedOrigins are its records of where streams
	// began; nil if there are none.
	Origins      core.StreamOrigins
	Software     core.SoftwareRecord
	SavedOrigins core.SavedOrigins
	// RegistryStale, if set, reports whether the registry may list hosts that this entry does
	// not know.
	RegistryStale func() bool
	// Behind, if set, reports whether the routing table in force may be outdated.
	Behind func() bool
	// TableAge, if set, returns the time since the platform last confirmed that there was no
	// newer routing table; negative if it never did.
	TableAge func() time.Duration
	// Missing, if set, returns the platform's version of the newest routing table that another
	// entry has named and this one lacks, and how long it has lacked one; zero if it lacks none.
	Missing func() (core.Version, time.Duration)
	// Entries, if set, returns the number of entries.
	Entries func() int
	// RetryRatio and RetrySpan are those of the platform's retry budget for each service, and
	// RetrySpare is this process's part of the spare retries from its start on.
	RetryRatio, RetrySpare float64
	RetrySpan              time.Duration
	// Lenders lends retries of other entries' parts of the budget; nil if there are none.
	Lenders core.RetryLenders
	// SpareRetries, if set, returns this process's part of the spare retries now. It applies once all hosts of
	// a service are known to have run since.
	SpareRetries func(now time.Time) float64

	// MaxHeld bounds the bytes that are held for callers and upstreams; zero means no bound.
	MaxHeld core.Bytes

	upstreams upstreams
	held      buffers

	mu      sync.Mutex
	view    fleet.View
	keeper  rtable.Keeper
	retries map[core.ServiceName]*retryBudget
	// inherited are the hosts that may read requests of this process's predecessor.
	inherited []*fleet.Host
	demand    demand.Tracker
	lengths   length.Tracker
	// book has the strikes against requests, and sharer chooses those for messages.
	book   strike.Book
	sharer strike.Sharer
	// parts has the parts of prompts that were in crashes.
	parts     parts.Table
	forecasts map[core.ModelName]time.Time
	// origins has the records of where streams began: those of this entry and those that it
	// holds for others.
	origins origin.Table
	// movedUntil is until when streams may be in progress that began before a route was moved to or
	// from a service.
	movedUntil map[core.ServiceName]time.Time
	waitingRoom
	// loaderSeen is when an agent or entry that can order loads of models was last
	// known.
	loaderSeen time.Time
	// drainAt is the time until which requests may wait before the process stops, and stopsAt that at which it does;
	// zero unless it is stopping.
	drainAt, stopsAt time.Time
	// durations are how long the requests of each route took from when they were sent to a host.
	durations map[routeID]*recent.Times
	// streams are the streams in progress that may move to another host.
	streams map[*watchedStream]bool
	// sentParts are the requests at upstreams that may have to be withdrawn.
	sentParts map[*sentParts]bool
	// suspects are the hosts that are avoided since they do not respond, with their last probes.
	suspects map[fleet.Incarnation]probe
	// unknownFields are the names of unknown fields of upstreams' answers that have
	// been logged.
	unknownFields map[string]bool
	// waiting receives a value when a request begins to wait for a model.
	waiting chan struct{}
	// trials are those that this entry has granted.
	trials strike.Trials
	// startedAt is when the process started.
	startedAt time.Time
}

// Start initialises the proxy. It is called once, before any other method.
func (p *Proxy) Start() {
	p.waiting = make(chan struct{}, 1)
	p.streams = map[*watchedStream]bool{}
	p.sentParts = map[*sentParts]bool{}
	p.suspects = map[fleet.Incarnation]probe{}
	p.unknownFields = map[string]bool{}
	p.startedAt = p.Clock.Now()
	p.loaderSeen = p.startedAt
	p.retries = map[core.ServiceName]*retryBudget{}
	p.durations = map[routeID]*recent.Times{}
	p.upstreams.start()
	p.startWaitingRoom()
	p.held.account.Bound = p.MaxHeld
	p.Meter.HeldBytes(p.HeldBytes)
	p.Meter.SpareRetries(p.spareRetries)
	p.origins = origin.Table{MaxRecords: maxOrigins}
	p.book = strike.Book{Self: p.Self, MaxRecords: maxStrikes, Incarnations: true}
	p.trials = strike.Trials{MaxTrials: maxTrials}
	if p.Trials == nil {
		p.Trials = ownTrials{p}
	}
	p.parts = parts.Table{MaxRecords: maxParts, MaxServed: maxServedParts, Requests: p.book.Repeated}
}

// Ready reports whether requests can be served, which needs a routing table and hosts.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Table() != nil && len(p.view.Hosts("")) > 0
}

// Wants returns the parts of prompts that requests begin with and others may.
func (p *Proxy) Wants() *cached.Wants { return &p.view.Wants }

// Table returns the routing table in force, or nil before there is one.
func (p *Proxy) Table() *rtable.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Table()
}

// Offer replaces the routing table in force if t is newer.
func (p *Proxy) Offer(t *rtable.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.keeper.Table()
	if !p.keeper.Offer(t) {
		return
	}
	if before != nil {
		p.noteMoved(t.Moved(before))
	}
	p.forgetDurations(t)
	p.view.SetServices(slices.Collect(maps.Keys(t.Services)))
	events.Log(events.TableInForce, "version", t.Version, "routes", t.Len())
	p.wake()
}

// Update applies a change to the view of the hosts.
func (p *Proxy) Update(change func(v *fleet.View, now time.Time)) {
	if p.update(change) {
		p.sendStrikes()
	}
}

// update is Update, and reports whether there are new strikes to send.
func (p *Proxy) update(change func(v *fleet.View, now time.Time)) (struck bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	change(&p.view, now)
	p.view.Tick(now)
	struck = p.strikeCrashed(now)
	p.wake() // reports and ends of requests make room
	return struck
}

// LimitedHosts returns the number of hosts that name a rate limit.
func (p *Proxy) LimitedHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Limited(p.Clock.Now())
}

// SetForecasts replaces the forecasts: the times at which models that requests wait for
// should be loaded.
func (p *Proxy) SetForecasts(ready map[core.ModelName]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forecasts = maps.Clone(ready) // the feed has the same map and changes it
	p.wake()
}

// NoteLoader records that an agent or entry that can order loads of models is available.
func (p *Proxy) NoteLoader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loaderSeen = p.Clock.Now()
}

// Demands returns this entry's demand for each model.
func (p *Proxy) Demands() map[core.ModelName]copies.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.All(p.Clock.Now())
}

// UpdateForecasts updates the forecasts of the models in asked. It deletes the forecasts of
// those that are not in ready, since they are not being loaded.
func (p *Proxy) UpdateForecasts(asked []core.ModelName, ready map[core.ModelName]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forecasts == nil {
		p.forecasts = map[core.ModelName]time.Time{}
	}
	for _, name := range asked {
		if at, ok := ready[name]; ok {
			p.forecasts[name] = at
		} else {
			delete(p.forecasts, name)
		}
	}
	p.wake()
}

// TakeArrivals returns the requests for each model since the previous call.
func (p *Proxy) TakeArrivals() map[core.ModelName]demand.Arrivals {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.TakeArrivals()
}

// WaitingFor returns the requests that wait for each model.
func (p *Proxy) WaitingFor() map[core.ModelName]demand.Waits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Waiting()
}

// Waiting returns a channel that receives a value when a request begins to wait for a
// model.
func (p *Proxy) Waiting() <-chan struct{} { return p.waiting }

// Drain refuses requests that still wait at a time, since the process stops at a later one, and from now on those that
// cannot be expected to end by then.
func (p *Proxy) Drain(at, stops time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drainAt, p.stopsAt = at, stops
	for _, w := range p.waiters {
		w.leaves = core.Earlier(w.leaves, at)
	}
	p.wake()
}

// Kick wakes the receiver of Waiting.
func (p *Proxy) Kick() { loop.Wake(p.waiting) }

// spareRetries returns the least part of the spare retries that this process may use now for a service.
func (p *Proxy) spareRetries() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.retries) == 0 {
		return 0
	}
	now, least := p.Clock.Now(), math.Inf(1)
	for s, b := range p.retries {
		p.updateSpare(now, s)
		least = min(least, b.spare.At(now))
	}
	return least
}

// target is the host that an attempt is sent to.
type target struct {
	id core.HostName
	// born is the start time of the host's incarnation, as in fleet.Incarnation.
	born    int64
	address netip.AddrPort
	host    *fleet.Host
	// origin is that of a stream that begins at the host.
	origin core.StreamOrigin
	// prefillTokens is the number of prompt tokens that the host has to process for the
	// request.
	prefillTokens int
	// sentAt is when the request was sent to the host.
	sentAt time.Time
	// startedAt is when the first event of a stream arrived from the host, zero before. late is set
	// once the stream has gone on for lateTime.
	startedAt time.Time
	late      bool
	// limit is the rate limit that the host named when it was chosen. reserved is set
	// if a reservation was made under it.
	limit    core.RateLimit
	reserved bool
}

// incarnation returns the incarnation that the attempt is sent to.
func (t *target) incarnation() fleet.Incarnation { return fleet.Incarnation{ID: t.id, Born: t.born} }

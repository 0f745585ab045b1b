package proxy

import (
	"net/netip"
	"sync"
	"time"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/demand"
	"radishwell/core/fleet"
	"radishwell/core/retry"
	"radishwell/core/rtable"
	"radishwell/io/events"
	"radishwell/io/loop"
	"radishwell/io/meter"
)

// Proxy takes callers' requests. Set the exported fields before use; its methods
// may be called from several goroutines.
type Proxy struct {
	Self       core.HostName
	DataCentre core.DataCentre
	Clock      core.Clock
	Protocol   core.Protocol
	Adapters   core.AdapterLoader
	Meter      *meter.Meter
	// Quotas counts customers' use; nil where nothing is counted.
	Quotas core.Quotas
	// Pacer spaces requests to upstreams that name a rate limit; nil where nothing is
	// counted.
	Pacer core.Pacer
	// HeardLimit, if set, is told of the rate limit that an upstream names in an answer,
	// and once it names none any more.
	HeardLimit func(life fleet.Incarnation, limit core.RateLimit)
	// HeardLeaving, if set, is told once an upstream says in an answer that it leaves.
	HeardLeaving func(life fleet.Incarnation)
	// Behind, if set, tells that the routing table in force may not be the newest.
	Behind func() bool
	// RetryRatio, RetrySpare and RetrySpan are this process's part of the
	// platform's retry budget, by service.
	RetryRatio, RetrySpare float64
	RetrySpan              time.Duration

	upstreams upstreams

	mu      sync.Mutex
	view    fleet.View
	keeper  rtable.Keeper
	retries map[core.ServiceName]*retry.Window
	demand  demand.Tracker
	ready   map[core.ModelName]time.Time
	// changed is closed and replaced at each change that may matter to requests
	// that wait.
	changed chan struct{}
	seen    uint64
	// ordered is when somebody was last known who can have models loaded.
	ordered time.Time
	// leave is until when requests may wait once the process stops; zero while it
	// does not.
	leave time.Time
	// streams are those in progress that may go on at another host.
	streams map[*watched]bool
	// unknown are the fields of upstreams' answers that are not known, by name.
	unknown map[string]bool
	// waiting is told when a request begins to wait for a model.
	waiting chan struct{}
}

// Start makes the proxy ready for use.
func (p *Proxy) Start() {
	p.changed = make(chan struct{})
	p.waiting = make(chan struct{}, 1)
	p.streams = map[*watched]bool{}
	p.unknown = map[string]bool{}
	p.ordered = p.Clock.Now()
	p.retries = map[core.ServiceName]*retry.Window{}
	p.upstreams.start()
}

// Ready tells whether requests can be served: there are a table and hosts.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Table() != nil && len(p.view.Hosts("")) > 0
}

// Table returns the routing table in force, nil before there is one.
func (p *Proxy) Table() *rtable.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Table()
}

// Offer takes in a routing table if it is newer than the one in force.
func (p *Proxy) Offer(t *rtable.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keeper.Offer(t) {
		return
	}
	events.Log(events.TableInForce, "version", t.Version, "routes", t.Len())
	p.wake()
}

// Update changes what is known of the hosts.
func (p *Proxy) Update(change func(v *fleet.View, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	change(&p.view, now)
	p.view.Tick(now)
	if p.view.Changes() != p.seen {
		p.seen = p.view.Changes()
		p.wake()
	}
}

// Limited returns the number of hosts that name a rate limit.
func (p *Proxy) Limited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Limited(p.Clock.Now())
}

// wake has the requests that wait look again. The caller holds mu.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Foresee takes in when models that are waited for should be loaded.
func (p *Proxy) Foresee(ready map[core.ModelName]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = ready
	p.wake()
}

// Ordered notes that somebody can have models loaded.
func (p *Proxy) Ordered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered = p.Clock.Now()
}

// Demands returns what this entry's models are asked for.
func (p *Proxy) Demands() map[core.ModelName]copies.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.All(p.Clock.Now())
}

// ForeseeSome takes in when some of the models that are waited for should be loaded;
// those of asked that ready lacks are not on their way.
func (p *Proxy) ForeseeSome(asked []core.ModelName, ready map[core.ModelName]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ready == nil {
		p.ready = map[core.ModelName]time.Time{}
	}
	for _, name := range asked {
		if at, ok := ready[name]; ok {
			p.ready[name] = at
		} else {
			delete(p.ready, name)
		}
	}
	p.wake()
}

// TakeArrivals returns the requests for models since it was last called.
func (p *Proxy) TakeArrivals() map[core.ModelName]demand.Arrivals {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.TakeArrivals()
}

// WaitingFor returns how many requests wait for each model.
func (p *Proxy) WaitingFor() map[core.ModelName]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.Waiting()
}

// Waiting is sent on when a request begins to wait for a model.
func (p *Proxy) Waiting() <-chan struct{} { return p.waiting }

// Leave has requests that wait be refused by a time, since the process stops
// soon after it.
func (p *Proxy) Leave(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leave = at
	p.wake()
}

// waitUntil returns until when a request with a deadline may wait.
func (p *Proxy) waitUntil(deadline time.Time) (at time.Time, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at = deadline.Add(-answerSlack)
	if !p.leave.IsZero() && p.leave.Before(at) {
		return p.leave, true
	}
	return at, false
}

// Kick has whoever follows Waiting look at once.
func (p *Proxy) Kick() { loop.Poke(p.waiting) }

// ShareRetries sets this process's part of the spare retries anew, as the number
// of entries changes.
func (p *Proxy) ShareRetries(spare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.RetrySpare = spare
	for _, w := range p.retries {
		w.Spare = spare
	}
}

// window returns the retry budget of a service. The caller holds mu.
func (p *Proxy) window(s core.ServiceName) *retry.Window {
	w := p.retries[s]
	if w == nil {
		w = &retry.Window{Ratio: p.RetryRatio, Spare: p.RetrySpare, Span: p.RetrySpan}
		p.retries[s] = w
	}
	return w
}

// target is the host that an attempt goes to.
type target struct {
	id      core.HostName
	born    int64
	address netip.AddrPort
	host    *fleet.Host
	// unread is the prompt tokens that the host has to read for the request.
	unread int
	begun  bool
	// limit is what the host named when it was chosen, and reserved tells that a
	// reservation was made under it.
	limit    core.RateLimit
	reserved bool
}

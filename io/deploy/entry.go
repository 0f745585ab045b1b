package deploy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/cached"
	"radishwell/core/fleet"
	"radishwell/core/follow"
	"radishwell/core/share"
	"radishwell/io/config"
	"radishwell/io/feed"
	"radishwell/io/httpd"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/io/proxy"
	"radishwell/io/quota"
	"radishwell/io/resume"
	"radishwell/io/stale"
	plat "radishwell/platform"
	"radishwell/wire"
)

const (
	// assumedEntries is the assumed number of entries while no other entry is known.
	assumedEntries = 10
	// drainDelay is how long a stopping entry still accepts requests. The platform's load
	// balancer needs two failed health checks, a second apart, to send new connections
	// elsewhere.
	drainDelay = 2500 * time.Millisecond
	// waitMargin is how long before the end of the process requests that still wait for a
	// host are refused, so that the refusals reach the callers.
	waitMargin = time.Second
)

// entry is an entry process and its parts.
type entry struct {
	*Process
	proxy   *proxy.Proxy
	links   *links
	planner *planner
	state   *peer.Store
	members members
	// spare is this entry's part of the spare retries.
	spare *spareRetries
	feed  *feed.Feed
	// cached holds which parts of prompts the engines keep.
	cached  cached.Book
	quota   *quota.Quota
	orderer *orderer
	// origins exchanges with other entries and agents where streams began, and software keeps the
	// platform's record of the versions at which they may have.
	origins  *resume.Exchange
	software *software
	// quarantine keeps the requests that crash upstreams in the store.
	quarantine *quarantine
	// crashes keeps the latest crashes there.
	crashes *crashLog
	// ordersEngines is set while this entry orders engines. A value is sent on recordChanged
	// when it changes.
	ordersEngines atomic.Bool
	recordChanged chan struct{}
	// unread are the upstreams that may read requests later, which are in the record.
	unread unreadRecord
	// leaving is set once the process stops.
	leaving atomic.Bool
	// tables decodes routing tables. Only the goroutine that applies changes uses it.
	tables plat.TableDecoder
	// storeFailed is set if the last read of the store failed.
	storeFailed atomic.Bool
}

// buildEntry sets up the parts of an entry.
func (p *Process) buildEntry() {
	s := p.Settings
	e := &entry{Process: p, recordChanged: make(chan struct{}, 1)}
	e.buildLinks()
	e.spare = &spareRetries{entry: e, share: share.Share{Self: s.Name, Whole: s.Managed.RetrySpare}}
	p.handler.Count, p.handler.Lend = e.spare.serve, e.serveLend
	e.proxy = &proxy.Proxy{
		Self: s.Name, DataCentre: s.DataCentre, Clock: p.clock, Protocol: protocol, Adapters: e.links, Rooms: rooms{e.links}, Meter: p.meter,
		Managed:    managed(),
		RetryRatio: s.Managed.RetryRatio, RetrySpan: s.Managed.RetrySpan, SpareRetries: e.spare.part, Lenders: lenders{e},
		Entries: e.entryCount,
		MaxHeld: core.Bytes(float64(s.Managed.Memory) * s.Managed.BufferShare),
	}
	granting := &trials{entry: e, ended: make(chan *wire.TrialCall, maxTrialEnds)}
	e.proxy.Trials = granting
	p.handler.Trial = granting.serve
	e.proxy.Start()
	e.applySettings(s.Managed)
	p.onReload = e.applySettings
	e.planner = &planner{entry: e, parallel: s.Store.Parallel}
	e.planner.start()
	p.handler.Plan = e.planner.servePlan
	e.buildFeed()
	e.buildQuota()
	e.buildOrderer()
	e.orderer.serve()
	e.buildState()
	e.quarantine = &quarantine{entry: e, changed: make(chan struct{}, 1)}
	e.crashes = &crashLog{entry: e, changed: make(chan struct{}, 1)}
	e.shareSignals()
	e.shareOrigins()
	p.parts = append(
		p.parts, e.proxy.Run, e.links.run, e.planner.run, e.planner.loadDemand, e.feed.Run, e.quota.Run, e.maintainRecord, e.orderer.run,
		e.quarantine.run, e.crashes.run, granting.run, e.spare.run, e.recordUnread, e.software.followStandstills,
	)
	p.addServer(&httpd.Server{Address: s.Managed.Readiness, Handler: http.HandlerFunc(e.serveReady)})
	callers := &httpd.Server{
		Address: s.Listen.Callers, Handler: e.closeWhileLeaving(e.proxy), OnRefuse: e.connectionRefused, Clock: p.clock,
		MaxWaiting: maxWaiting(float64(s.Managed.Cores) * s.Managed.Share), MaxOpen: maxOpen(),
	}
	p.addServer(callers)
	p.drain = func(ctx context.Context) {
		e.leaving.Store(true)
		e.orderer.stop()
		if due, ok := ctx.Deadline(); ok {
			stops := p.clock.Now().Add(time.Until(due))
			e.proxy.Drain(stops.Add(-waitMargin), stops)
		}
		if loop.Sleep(ctx, drainDelay) {
			// Its error is that of the deadline, at which requests in progress are aborted.
			_ = callers.Stop(ctx)
		}
	}
}

// applySettings applies the settings that may change while the process runs. Requests that wait
// keep their places.
func (e *entry) applySettings(m config.Managed) {
	e.proxy.UsePaces(m.EnginePace)
	e.proxy.HoldForRoom(m.HoldForRoom)
	var book *cached.Book
	if m.CachedParts {
		book = &e.cached
	}
	e.proxy.Update(func(v *fleet.View, _ time.Time) { v.UseCached(book) })
}

// buildFeed sets up the membership and the exchange of reports and demand between entries.
func (e *entry) buildFeed() {
	s := e.Settings
	self := follow.Member{
		Name: s.Name, Control: s.Listen.Control, DataCentre: s.DataCentre,
		Capacity: float64(s.Managed.Cores) * s.Managed.Share,
	}
	e.members.clock, e.members.self = e.clock, self
	for _, at := range s.Peers {
		if at != s.Listen.Control {
			e.members.seeds = append(e.members.seeds, at)
		}
	}
	e.feed = &feed.Feed{
		Self: self, MaxDirect: s.Managed.DirectAgents, Clock: e.clock, Proxy: e.proxy, Digest: e.client.Digest, Ping: e.client.Ping,
		Members: e.members.others, Engines: e.links.centres, OnPlanner: e.links.notifyAll, Cached: &e.cached,
	}
	e.feed.Start()
	e.handler.Digest = e.feed.Serve
}

// applyMargin is how much sooner than after the time within which a change has to be in force
// the routing table counts as possibly outdated. The platform's confirmation may take that long
// to arrive.
const applyMargin = 500 * time.Millisecond

// buildQuota sets up the enforcement of customers' allowances and upstreams' rate limits.
func (e *entry) buildQuota() {
	m := e.Settings.Managed
	e.quota = &quota.Quota{
		Self: e.members.self, Clock: e.clock, Seed: rand.Uint64(),
		Tolerance: admit.Tolerance{Window: m.QuotaWindow, Ratio: m.QuotaRatio, Slack: m.QuotaSlack},
		Ask:       e.client.Allow, Before: e.members.predecessors, Entries: e.entryCount,
		Allowance: e.allowance, Limited: func() bool { return e.proxy.Table().Limited() || e.proxy.LimitedHosts() > 0 },
	}
	e.quota.Start()
	e.handler.Allow = e.quota.Serve
	e.proxy.Quotas, e.proxy.Pacer = e.quota, e.quota
	e.proxy.TableAge = func() time.Duration { return stale.Age(e.state, core.KindTable) }
	e.proxy.Missing = func() (core.Version, time.Duration) { return e.state.Missing(core.KindTable) }
	e.proxy.Behind = func() bool {
		return e.state.Lag(core.KindTable) > 0 || stale.IsOlder(e.state, core.KindTable, m.ApplyTime-applyMargin)
	}
}

// entryCount returns the number of entries, or assumedEntries while no other entry is known.
func (e *entry) entryCount() int { return cmp.Or(e.members.count(), assumedEntries) }

// allowance returns a customer's allowance; false if the customer is unknown.
func (e *entry) allowance(customer core.OwnerName) (admit.Allowance, bool) {
	c := e.proxy.Table().Customer(customer)
	if c == nil {
		return admit.Allowance{}, false
	}
	return c.Allowance, true
}

// serveReady is the health check of the platform's load balancer. It fails while no new
// connections are wanted.
func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if e.leaving.Load() || !e.proxy.Ready() || !e.quarantine.loaded.Load() || !e.crashes.loaded.Load() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// closeWhileLeaving closes callers' connections after the response while the process is
// stopping, so that their next requests go to another entry.
func (e *entry) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

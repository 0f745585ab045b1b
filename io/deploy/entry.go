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
	"radishwell/core/follow"
	"radishwell/io/feed"
	"radishwell/io/httpd"
	"radishwell/io/loop"
	"radishwell/io/peer"
	"radishwell/io/proxy"
	"radishwell/io/quota"
)

const (
	// spareShare is the part of the platform's spare retries that all entries
	// together use. The platform counts them together, and an entry may know fewer
	// others than there are for some seconds.
	spareShare = 0.8
	// leastEntries is how many entries are taken to be there while no agent has
	// said which there are.
	leastEntries = 10
	// ratioShare is the part of the platform's ratio of retries that is used: the
	// platform's windows do not begin with this process's.
	ratioShare = 0.8
	// leaveTime is how long an entry that was told to stop still takes requests:
	// the platform's balancer needs two failed looks, a second apart, to send new
	// connections elsewhere.
	leaveTime = 2500 * time.Millisecond
	// waitMargin is how long before the end of the process requests that still
	// wait for a host are refused, so that their callers have the refusal.
	waitMargin = time.Second
)

// entry is the parts of an entry process.
type entry struct {
	*Process
	proxy   *proxy.Proxy
	links   *links
	planner *planner
	state   *peer.Store
	members members
	feed    *feed.Feed
	quota   *quota.Quota
	tender  *tender
	// ordering tells that this entry orders engines, rewrite is sent on when that has
	// changed.
	ordering atomic.Bool
	rewrite  chan struct{}
	leaving  atomic.Bool
	// storeLost tells that the last read of the store failed.
	storeLost atomic.Bool
}

func (p *Process) buildEntry() {
	s := p.Settings
	e := &entry{Process: p, rewrite: make(chan struct{}, 1)}
	e.buildLinks()
	e.proxy = &proxy.Proxy{
		Self: s.Name, DataCentre: s.DataCentre, Clock: p.clock, Protocol: protocol, Adapters: e.links, Meter: p.meter,
		RetryRatio: s.Managed.RetryRatio * ratioShare, RetrySpare: spareOf(s.Managed.RetrySpare, 0), RetrySpan: s.Managed.RetrySpan,
	}
	e.proxy.Start()
	e.planner = &planner{entry: e, parallel: s.Store.Parallel}
	e.planner.start()
	p.handler.Plan = e.planner.servePlan
	e.buildFeed()
	e.buildQuota()
	e.buildTender()
	e.tender.serve()
	e.prepareState()
	e.shareSignals()
	p.parts = append(p.parts, e.proxy.Run, e.links.run, e.planner.run, e.planner.recall, e.feed.Run, e.quota.Run, e.record, e.tender.run)
	p.serve(&httpd.Server{Address: s.Managed.Readiness, Handler: http.HandlerFunc(e.serveReady)})
	callers := &httpd.Server{Address: s.Listen.Callers, Handler: e.steer(e.proxy)}
	p.serve(callers)
	p.leave = func(ctx context.Context) {
		e.leaving.Store(true)
		e.tender.leave()
		if due, ok := ctx.Deadline(); ok {
			e.proxy.Drain(p.clock.Now().Add(time.Until(due) - waitMargin))
		}
		if loop.Sleep(ctx, leaveTime) {
			// Its error is the deadline's: what is still in progress is cut then.
			_ = callers.Stop(ctx)
		}
	}
}

// buildFeed sets up what this entry knows of other entries and its exchange with them.
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
		Members: e.members.others, Engines: e.links.centres, OnPlanner: e.links.informAll,
	}
	e.feed.Start()
	e.handler.Digest = e.feed.Serve
}

// tableAge is how old the word may be that there is no newer routing table for the one in
// force to count as the newest.
const tableAge = 5 * time.Second

// buildQuota sets up the counting of customers' use.
func (e *entry) buildQuota() {
	m := e.Settings.Managed
	e.quota = &quota.Quota{
		Self: e.members.self, Clock: e.clock, Seed: rand.Uint64(),
		Tolerance: admit.Tolerance{Window: m.QuotaWindow, Ratio: m.QuotaRatio, Slack: m.QuotaSlack},
		Ask:       e.client.Allow, Before: e.members.before, Entries: e.entries,
		Allowance: e.allowance, Limited: func() bool { return e.proxy.Table().Limited() || e.proxy.LimitedHosts() > 0 },
	}
	e.quota.Start()
	e.handler.Allow = e.quota.Serve
	e.proxy.Quotas, e.proxy.Pacer = e.quota, e.quota
	e.proxy.Behind = func() bool {
		return e.clock.Now().Sub(e.state.Status(core.KindTable).FreshAt) > tableAge
	}
}

// entries returns the number of entries, a guess while no other is known.
func (e *entry) entries() int { return cmp.Or(e.members.count(), leastEntries) }

func (e *entry) allowance(customer core.OwnerName) (admit.Allowance, bool) {
	c := e.proxy.Table().Customer(customer)
	if c == nil {
		return admit.Allowance{}, false
	}
	return c.Allowance, true
}

// spareOf returns an entry's part of the spare retries, given the number of
// entries that agents have named, zero where none has.
func spareOf(all float64, entries int) float64 {
	if entries == 0 {
		entries = leastEntries
	}
	return all * spareShare / float64(entries)
}

// serveReady tells the platform's balancer whether to send new connections.
func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if e.leaving.Load() || !e.proxy.Ready() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// steer has callers' connections closed after their answer while the process is
// leaving, so that their next request goes to another entry.
func (e *entry) steer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

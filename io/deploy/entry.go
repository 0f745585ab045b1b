package deploy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"radishwell/io/httpd"
	"radishwell/io/proxy"
)

const (
	// retryShare is the part of the platform's spare retries that each entry may
	// use. The platform counts all entries together, and no entry knows how many
	// others there are that it cannot reach; a tenth suits up to ten at once.
	retryShare = 0.1
	// ratioShare is the part of the platform's ratio of retries that is used: the
	// platform's windows do not begin with this process's.
	ratioShare = 0.8
	// leaveTime is how long an entry that was told to stop still takes requests:
	// the platform's balancer needs two failed looks, a second apart, to send new
	// connections elsewhere.
	leaveTime = 2500 * time.Millisecond
)

// entry is the parts of an entry process.
type entry struct {
	*Process
	proxy   *proxy.Proxy
	links   *links
	planner *planner
	basis   basis
	leaving atomic.Bool
}

func (p *Process) buildEntry() {
	s := p.Settings
	e := &entry{Process: p}
	e.links = &links{entry: e}
	e.proxy = &proxy.Proxy{
		Self: s.Name, DataCentre: s.DataCentre, Clock: p.clock, Protocol: protocol, Adapters: e.links, Meter: p.meter,
		RetryRatio: s.Managed.RetryRatio * ratioShare, RetrySpare: s.Managed.RetrySpare * retryShare, RetrySpan: s.Managed.RetrySpan,
	}
	e.proxy.Start()
	e.planner = &planner{entry: e, parallel: s.Store.Parallel}
	e.planner.start()
	p.handler.Plan = e.planner.servePlan
	p.handler.Basis = e.basis.serve
	p.parts = append(p.parts, e.watchTable, e.watchRegistry, e.links.run, e.planner.run, e.askPeers)
	p.serve(&httpd.Server{Address: s.Managed.Readiness, Handler: http.HandlerFunc(e.serveReady)})
	callers := &httpd.Server{Address: s.Listen.Callers, Handler: e.steer(e.proxy)}
	p.serve(callers)
	p.leave = func(ctx context.Context) {
		e.leaving.Store(true)
		if sleep(ctx, leaveTime) {
			// Its error is the deadline's: what is still in progress is cut then.
			_ = callers.Stop(ctx)
		}
	}
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

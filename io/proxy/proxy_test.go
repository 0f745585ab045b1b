package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/io/events"
	"radishwell/io/meter"
	"radishwell/io/proxy"
	"radishwell/io/reply"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

func TestMain(m *testing.M) {
	events.Discard()
	m.Run()
}

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

// adapterLoader counts the adapters that are fetched.
type adapterLoader struct {
	count atomic.Int64
	err   error
}

func (f *adapterLoader) Fetch(context.Context, core.HostName, core.ModelName, string) error {
	f.count.Add(1)
	return f.err
}

func (f *adapterLoader) RecordUse(core.HostName, core.ModelName, string) {}

// rig is a proxy in front of fake upstreams.
type rig struct {
	*proxy.Proxy
	url      string
	adapters *adapterLoader
}

const longTimeout = 20 * time.Second

// routes returns a table with a route of each kind: two to a plain service, two to a
// service of models.
func routes(timeout time.Duration) *rtable.Table {
	share := func(s core.ServiceName) []rtable.Share { return []rtable.Share{{Service: s, Weight: 1}} }
	route := func(path string, kind rtable.Kind, s core.ServiceName, hosts int) *rtable.Route {
		return &rtable.Route{
			Name: path, Host: "a.example", Prefix: path, Kind: kind, Shares: share(s), MaxHosts: hosts, Timeout: timeout,
			Target: time.Second,
		}
	}
	resumable := route("/resumed/", rtable.Stream, "llm", 2)
	resumable.Resumable = true
	models := map[core.ModelName]rtable.Model{"m": {Name: "m"}}
	t, err := rtable.Build(1, rtable.Limits{}, []*rtable.Service{{Name: "plain"}, {Name: "llm", Models: models}}, []*rtable.Route{
		route("/once/", rtable.Once, "plain", 1), route("/again/", rtable.Repeatable, "plain", 2),
		route("/stream/", rtable.Stream, "llm", 1), resumable,
	}, nil)
	if err != nil {
		panic(err)
	}
	return t
}

func newRig(t testing.TB) *rig {
	t.Helper()
	return newRigWith(t, 10)
}

// newRigWith is newRig, with a number of spare retries.
func newRigWith(t testing.TB, spareRetries float64) *rig {
	t.Helper()
	return newRigSpan(t, spareRetries, 10*time.Second)
}

// newRigSpan is newRigWith, with the span in which the retries are counted.
func newRigSpan(t testing.TB, spareRetries float64, span time.Duration) *rig {
	t.Helper()
	return newRigSet(t, spareRetries, span, func(*proxy.Proxy) {})
}

// newRigSet is newRigSpan, and has set change the proxy before it runs.
func newRigSet(t testing.TB, spareRetries float64, span time.Duration, set func(*proxy.Proxy)) *rig {
	t.Helper()
	r := &rig{adapters: &adapterLoader{}}
	r.Proxy = &proxy.Proxy{
		Self: "edge-1", DataCentre: "dc-1", Clock: realClock{}, Protocol: plat.Headers{}, Adapters: r.adapters,
		RetryRatio: 0.2, RetrySpare: spareRetries, RetrySpan: span,
		Managed: func(at netip.AddrPort) core.Managed {
			return &plat.Upstream{Address: at, Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		},
	}
	set(r.Proxy)
	r.Start()
	runProxy(t, r.Proxy)
	srv := httptest.NewServer(r.Proxy)
	t.Cleanup(srv.Close)
	r.url = srv.URL
	r.Offer(routes(longTimeout))
	return r
}

// runProxy runs a proxy until the end of the test.
func runProxy(t testing.TB, p *proxy.Proxy) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
}

// add starts a fake upstream and registers it.
func (r *rig) add(t *testing.T, service core.ServiceName, w *stand.Worker) *stand.Worker {
	t.Helper()
	return r.addServed(t, service, w, w)
}

// addServed starts a fake upstream whose requests a handler serves, and registers it.
func (r *rig) addServed(t *testing.T, service core.ServiceName, w *stand.Worker, h http.Handler) *stand.Worker {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	w.Plain = service == "plain"
	at := netip.MustParseAddrPort(srv.Listener.Addr().String())
	e := fleet.Entry{ID: core.HostName(w.ID), Service: service, Address: at, Usable: true, DataCentre: "dc-1", Slots: 6}
	if service == "llm" {
		w.SetModels(stand.Held{Name: "m"})
		e.Models = []core.HeldModel{{Model: "m"}}
	}
	r.Update(func(v *fleet.View, _ time.Time) { v.Apply(e) })
	return w
}

func plain(t *testing.T, r *rig, ids ...string) []*stand.Worker {
	t.Helper()
	var out []*stand.Worker
	for _, id := range ids {
		out = append(out, r.add(t, "plain", &stand.Worker{ID: id}))
	}
	return out
}

// ask returns a caller's request. more are names and values of further header fields.
func (r *rig) ask(t *testing.T, method, path, id string, more ...string) *http.Request {
	t.Helper()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	req, err := http.NewRequest(method, r.url+path, body)
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set("X-Radishwell-Request-Id", id)
	for i := 0; i < len(more); i += 2 {
		req.Header.Set(more[i], more[i+1])
	}
	return req
}

type answer struct {
	status int
	header http.Header
	body   string
	// framing tells how the answer showed its end.
	framing core.Framing
	// cut is set if the answer did not end as a complete one does.
	cut bool
}

func do(t *testing.T, req *http.Request) answer {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{cut: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), framing: reply.Framing(resp), cut: err != nil}
}

func wantStatus(t *testing.T, a answer, status int) {
	t.Helper()
	assert.Assert(t, !a.cut, "%+v", a)
	assert.Equal(t, a.status, status, "%+v", a)
}

func totalRuns(workers []*stand.Worker, id string) int {
	n := 0
	for _, w := range workers {
		n += w.Ran(id)
	}
	return n
}

func TestServed(t *testing.T) {
	r := newRig(t)
	w := plain(t, r, "p-1")[0]
	a := do(t, r.ask(t, http.MethodPost, "/once/a%2Fb//c?x=%20y", "q-1", "Hold", "mine", "X-Other", "kept"))
	wantStatus(t, a, http.StatusOK)
	assert.Equal(t, a.body, "answer of p-1")
	assert.Equal(t, a.header.Get("X-Radishwell-Server-Signature"), "signed-by-p-1")
	assert.Equal(t, a.header.Get("X-Radishwell-Request-Id"), "q-1")
	seen := w.Requests()[0]
	assert.Equal(t, seen.Path, "/once/a%2Fb//c?x=%20y", "path and query are forwarded unchanged")
	assert.Equal(t, seen.Host, "a.example")
	assert.Equal(t, string(seen.Body), "body of q-1")
	assert.Equal(t, seen.Header.Get("Hold"), "")
	assert.Equal(t, seen.Header.Get("X-Other"), "kept")
	assert.Equal(t, seen.Header.Get("X-Radishwell-Expected-Instance"), "p-1")
	assert.Equal(t, seen.Header.Get("Accept-Encoding"), "gzip", "the caller's own client asked for it")
}

func TestNotServed(t *testing.T) {
	t.Run("no table yet", func(t *testing.T) {
		r := &rig{Proxy: &proxy.Proxy{Clock: realClock{}, Protocol: plat.Headers{}}}
		r.Start()
		srv := httptest.NewServer(r.Proxy)
		defer srv.Close()
		r.url = srv.URL
		wantStatus(t, do(t, r.ask(t, http.MethodGet, "/again/x", "q")), http.StatusServiceUnavailable)
	})
	r := newRig(t)
	w := plain(t, r, "p-1")
	t.Run("no route", func(t *testing.T) {
		wantStatus(t, do(t, r.ask(t, http.MethodGet, "/nowhere/x", "q-1")), http.StatusNotFound)
	})
	t.Run("no route in a table that may be outdated", func(t *testing.T) {
		// A newer table may have the route; the entry must not say that there is none.
		r.Behind = func() bool { return true }
		defer func() { r.Behind = nil }()
		a := do(t, r.ask(t, http.MethodGet, "/nowhere/x", "q-behind"))
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
	})
	t.Run("malformed", func(t *testing.T) {
		wantStatus(t, do(t, r.ask(t, http.MethodGet, "/again/x", "q-2", "X-Radishwell-Deadline-Ms", "soon")), http.StatusBadRequest)
	})
	assert.Equal(t, len(w[0].Requests()), 0)
}

// Guards against a request that runs twice, or is reported as not run, because the
// answer to its first run was lost.
func TestLostAnswers(t *testing.T) {
	t.Run("a request that may run once", func(t *testing.T) {
		for _, fault := range []stand.WorkerFault{stand.NoResponse, stand.WrongID, stand.Unsigned, stand.Ambiguous, stand.Truncated, stand.EndsInsideHead} {
			t.Run(fmt.Sprint(fault), func(t *testing.T) {
				r := newRig(t)
				ws := plain(t, r, "p-1", "p-2", "p-3")
				for _, w := range ws {
					w.SetFault(fault)
				}
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					id := "q-" + method
					a := do(t, r.ask(t, method, "/once/x", id))
					wantStatus(t, a, http.StatusBadGateway)
					assert.Equal(t, a.header.Get("X-Radishwell-Server-Signature"), "")
					assert.Equal(t, totalRuns(ws, id), 1)
				}
			})
		}
	})
	t.Run("a repeatable request goes to another host", func(t *testing.T) {
		r := newRig(t)
		ws := plain(t, r, "p-1", "p-2")
		ws[0].SetFault(stand.NoResponse)
		for i := range 6 {
			id := fmt.Sprint("q-", i)
			wantStatus(t, do(t, r.ask(t, http.MethodGet, "/again/x", id)), http.StatusOK)
			assert.Assert(t, ws[0].Ran(id) <= 1 && ws[1].Ran(id) == 1)
		}
	})
	t.Run("and to no more hosts than its route allows", func(t *testing.T) {
		r := newRig(t)
		ws := plain(t, r, "p-1", "p-2", "p-3", "p-4")
		for _, w := range ws {
			w.SetFault(stand.NoResponse)
		}
		wantStatus(t, do(t, r.ask(t, http.MethodGet, "/again/x", "q")), http.StatusBadGateway)
		assert.Equal(t, totalRuns(ws, "q"), 2)
	})
}

func TestTurnedAway(t *testing.T) {
	t.Run("another host takes it", func(t *testing.T) {
		r := newRig(t)
		ws := plain(t, r, "p-1", "p-2")
		ws[0].SetFault(stand.Shed)
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q")), http.StatusOK)
		assert.Equal(t, ws[1].Ran("q"), 1)
	})
	t.Run("all reject it: not run, and when to retry", func(t *testing.T) {
		r := newRig(t)
		ws := plain(t, r, "p-1", "p-2")
		ws[0].SetFault(stand.Shed)
		ws[1].SetFault(stand.Shed)
		a := do(t, r.ask(t, http.MethodPost, "/once/x", "q", "X-Radishwell-Deadline-Ms", "900"))
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Equal(t, totalRuns(ws, "q"), 0)
	})
	t.Run("the address belongs to another incarnation: 421 is no answer for the caller", func(t *testing.T) {
		r := newRig(t)
		ws := plain(t, r, "p-1", "p-2")
		ws[0].ID = "p-9"
		wantStatus(t, do(t, r.ask(t, http.MethodPost, "/once/x", "q")), http.StatusOK)
		assert.Equal(t, ws[0].Ran("q"), 0)
	})
}

// Guards against retries that multiply the load while all upstreams fail. The retry
// budget bounds them over all requests.
func TestRetriesAreBounded(t *testing.T) {
	r := newRig(t)
	ws := plain(t, r, "p-1", "p-2")
	for _, w := range ws {
		w.SetFault(stand.NoResponse)
	}
	const requests = 50
	for i := range requests {
		do(t, r.ask(t, http.MethodGet, "/again/x", fmt.Sprint("q-", i)))
	}
	arrivals := len(ws[0].Requests()) + len(ws[1].Requests())
	assert.Assert(t, arrivals <= requests+10+requests/5, arrivals)
	assert.Assert(t, arrivals > requests, arrivals)
}

// Guards against replacing a failure that the service itself answers. It is the caller's
// answer.
func TestOwnFailureIsPassedOn(t *testing.T) {
	r := newRig(t)
	w := plain(t, r, "p-1")[0]
	w.SetFault(stand.ServerError)
	a := do(t, r.ask(t, http.MethodPost, "/once/x", "q"))
	wantStatus(t, a, http.StatusInternalServerError)
	assert.Equal(t, a.header.Get("X-Radishwell-Server-Signature"), "signed-by-p-1")
}

// A service fails one request in seven, at random, so another host is likely to answer
// the same request. Guards against passing such a failure on although the request may run
// again. Here one host fails every request.
func TestFailedLookupRunsAgain(t *testing.T) {
	r := newRig(t)
	ws := plain(t, r, "p-1", "p-2")
	ws[0].SetFault(stand.ServerError)
	for i := range 4 {
		id := fmt.Sprint("q-", i)
		wantStatus(t, do(t, r.ask(t, http.MethodGet, "/again/x", id)), http.StatusOK)
		assert.Assert(t, ws[0].Ran(id) <= 1 && ws[1].Ran(id) == 1)
	}
	t.Run("and the service's failure is the answer where all fail", func(t *testing.T) {
		ws[1].SetFault(stand.ServerError)
		a := do(t, r.ask(t, http.MethodGet, "/again/x", "q"))
		wantStatus(t, a, http.StatusInternalServerError)
		assert.Assert(t, strings.HasPrefix(a.header.Get("X-Radishwell-Server-Signature"), "signed-by-p-"))
		assert.Equal(t, totalRuns(ws, "q"), 2)
	})
	t.Run("also before the caller leaves, where the second host is silent", func(t *testing.T) {
		// One host fails the request and the next never answers. Guards against a kept
		// failure that is not written before the caller leaves.
		r := newRig(t)
		ws := plain(t, r, "p-1", "p-2")
		ws[0].SetFault(stand.ServerError)
		ws[1].SetFault(stand.Hang)
		a := do(t, r.ask(t, http.MethodGet, "/again/x", "q", "X-Radishwell-Deadline-Ms", "1000"))
		wantStatus(t, a, http.StatusInternalServerError)
	})
	t.Run("or where there is no other host", func(t *testing.T) {
		r := newRig(t)
		w := plain(t, r, "p-1")[0]
		w.SetFault(stand.ServerError)
		a := do(t, r.ask(t, http.MethodGet, "/again/x", "q", "X-Radishwell-Deadline-Ms", "700"))
		wantStatus(t, a, http.StatusInternalServerError)
		assert.Equal(t, w.Ran("q"), 1)
	})
	t.Run("a request that may run once is not sent again", func(t *testing.T) {
		a := do(t, r.ask(t, http.MethodPost, "/once/x", "q-once"))
		wantStatus(t, a, http.StatusInternalServerError)
		assert.Equal(t, totalRuns(ws, "q-once"), 1)
	})
}

// A host accepts a request and never answers, as one that was cut off does. Guards
// against callers who wait for it until their deadline although other hosts would
// answer.
func TestSilentHostIsLeft(t *testing.T) {
	r := newRig(t)
	ws := plain(t, r, "p-1", "p-2")
	ws[0].SetFault(stand.Hang)
	ws[1].SetFault(stand.NoFault)
	for i := range 3 {
		id := fmt.Sprint("q-", i)
		a := do(t, r.ask(t, http.MethodGet, "/again/x", id, "X-Radishwell-Deadline-Ms", "1000"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, ws[1].Ran(id), 1)
	}
}

// An upstream sends a second answer after the first. Guards against passing it to the
// next caller, which happens on a reused connection.
func TestSecondAnswerIsNobodys(t *testing.T) {
	r := newRig(t)
	w := plain(t, r, "p-1")[0]
	w.SetFault(stand.ExtraResponse)
	for i := range 10 {
		id := fmt.Sprint("q-", i)
		a := do(t, r.ask(t, http.MethodGet, "/again/x", id))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.header.Get("X-Radishwell-Request-Id"), id)
		assert.Equal(t, a.body, "answer of p-1")
		assert.Equal(t, w.Ran(id), 1)
	}
}

// The upstream hangs. Guards against callers who get no final answer once the route's
// timeout has passed, or one that claims that the request has not run.
func TestTimeout(t *testing.T) {
	r := newRig(t)
	r.Offer(func() *rtable.Table { t := routes(150 * time.Millisecond); t.Version = 2; return t }())
	w := plain(t, r, "p-1")[0]
	w.SetFault(stand.Hang)
	left := w.Disconnected()
	wantStatus(t, do(t, r.ask(t, http.MethodGet, "/once/x", "q")), http.StatusGatewayTimeout)
	<-left
}

// Guards against upstreams that continue to work after the caller has left.
func TestCallerLeaves(t *testing.T) {
	r := newRig(t)
	w := plain(t, r, "p-1")[0]
	w.SetFault(stand.Hang)
	left := w.Disconnected()
	ctx, leave := context.WithCancel(context.Background())
	req := r.ask(t, http.MethodGet, "/once/x", "q").WithContext(ctx)
	ended := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(req)
		ended <- err
	}()
	for w.Ran("q") == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	assert.Assert(t, <-ended != nil)
	<-left
}

func eventsOf(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

func TestStreams(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		r := newRig(t)
		r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 8})
		a := do(t, r.ask(t, http.MethodPost, "/stream/x", "q", "X-Radishwell-Model", "m"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(8))
		assert.Equal(t, a.header.Get("Content-Type"), "text/event-stream")
	})
	t.Run("one that cannot continue is cut, not ended", func(t *testing.T) {
		// The upstream is lost in the middle of an event. An answer that ended properly
		// after it would look complete to the caller.
		r := newRig(t)
		w := r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 8})
		r.add(t, "llm", &stand.Worker{ID: "i-2", Events: 8}).SetFault(stand.Truncated)
		w.SetFault(stand.Truncated)
		a := do(t, r.ask(t, http.MethodPost, "/stream/x", "q", "X-Radishwell-Model", "m"))
		assert.Assert(t, a.cut)
		assert.Equal(t, a.body, eventsOf(4), "no part of an event is passed on")
	})
	t.Run("one that breaks off before its first event is no success", func(t *testing.T) {
		// The upstream answers with 200 and crashes before the first event. Guards
		// against an empty, unsigned answer with status 200 that looks complete.
		r := newRig(t)
		r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 8}).SetFault(stand.HeaderOnly)
		a := do(t, r.ask(t, http.MethodPost, "/stream/x", "q", "X-Radishwell-Model", "m"))
		wantStatus(t, a, http.StatusBadGateway)
	})
	t.Run("one that may be resumed continues after the last whole event", func(t *testing.T) {
		r := newRig(t)
		ws := []*stand.Worker{
			r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 8}), r.add(t, "llm", &stand.Worker{ID: "i-2", Events: 8}),
		}
		ws[0].SetFault(stand.Truncated)
		ws[1].SetFault(stand.Truncated)
		for i := range 2 {
			// Both runs break off at the same event; the second starts after it.
			a := do(t, r.ask(t, http.MethodPost, "/resumed/x", fmt.Sprint("q-", i), "X-Radishwell-Model", "m"))
			assert.Assert(t, a.cut)
			assert.Equal(t, a.body, eventsOf(4))
		}
		ws[1].SetFault(stand.NoFault)
		a := do(t, r.ask(t, http.MethodPost, "/resumed/x", "q", "X-Radishwell-Model", "m"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(8))
	})
	t.Run("one that may be resumed waits for another copy of its model", func(t *testing.T) {
		// The only host that holds the model crashes in the middle of an answer. Guards
		// against aborting the answer at once, although the model is loaded elsewhere
		// within a second.
		r := newRig(t)
		r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 8}).SetFault(stand.Truncated)
		got := make(chan answer, 1)
		req := r.ask(t, http.MethodPost, "/resumed/x", "q", "X-Radishwell-Model", "m")
		go func() { got <- do(t, req) }()
		<-r.Waiting()
		r.add(t, "llm", &stand.Worker{ID: "i-2", Events: 8})
		a := <-got
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(8))
	})
	t.Run("events come as they are made", func(t *testing.T) {
		r := newRig(t)
		r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 1000, Gap: 20 * time.Millisecond})
		resp, err := http.DefaultClient.Do(r.ask(t, http.MethodPost, "/stream/x", "q", "X-Radishwell-Model", "m"))
		assert.NilError(t, err)
		defer resp.Body.Close()
		line, err := bufio.NewReader(resp.Body).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "id: 1\n")
	})
	t.Run("a caller's own resumption", func(t *testing.T) {
		r := newRig(t)
		r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 3})
		a := do(t, r.ask(t, http.MethodPost, "/resumed/x", "q", "X-Radishwell-Model", "m", "Last-Event-Id", "2"))
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, "id: 3\ndata: event 3\n\n")
	})
}

func TestWaiting(t *testing.T) {
	stream := func(r *rig, id string) *http.Request {
		return r.ask(t, http.MethodPost, "/stream/x", id, "X-Radishwell-Model", "m")
	}
	empty := func(t *testing.T, r *rig) *stand.Worker {
		t.Helper()
		w := r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 2})
		r.Update(func(v *fleet.View, now time.Time) { v.Report(fleet.Report{Taken: now, ID: "i-1"}) })
		return w
	}
	t.Run("until a host holds the model", func(t *testing.T) {
		r := newRig(t)
		empty(t, r)
		got := make(chan answer, 1)
		go func() { got <- do(t, stream(r, "q")) }()
		<-r.Waiting()
		assert.Equal(t, r.Demands()["m"].Waiting, 1)
		r.Update(func(v *fleet.View, now time.Time) {
			v.Report(fleet.Report{Taken: now, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		})
		a := <-got
		wantStatus(t, a, http.StatusOK)
		assert.Equal(t, a.body, eventsOf(2))
		assert.Equal(t, r.Demands()["m"].Waiting, 0)
	})
	t.Run("and is measured as a cold start", func(t *testing.T) {
		// Guards against entries of a managed platform that count no cold starts and
		// record no time to the first byte.
		r := newRig(t)
		r.Meter = meter.New()
		empty(t, r)
		got := make(chan answer, 1)
		go func() { got <- do(t, stream(r, "q")) }()
		<-r.Waiting()
		r.Update(func(v *fleet.View, now time.Time) {
			v.Report(fleet.Report{Taken: now, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		})
		wantStatus(t, <-got, http.StatusOK)
		wantStatus(t, do(t, stream(r, "q2")), http.StatusOK)
		var text strings.Builder
		r.Meter.Write(&text)
		for _, want := range []string{"radishwell_cold_start_seconds_count{class=\"interactive\"} 1", "radishwell_first_byte_seconds_count{class=\"interactive\"} 2"} {
			assert.Assert(t, strings.Contains(text.String(), want), text.String())
		}
	})
	t.Run("not for a model that comes after the caller has left", func(t *testing.T) {
		// A caller leaves a stream that stays silent for four times its target, long
		// before the request's deadline. Guards against making it wait for a model that
		// is loaded later, instead of refusing it with the time at which to retry.
		r := newRig(t)
		table := routes(longTimeout)
		table.Version = 2
		table.Match("a.example", "/stream/x").SilenceTimeout = 4 * time.Second
		r.Offer(table)
		w := empty(t, r)
		forecasts := map[core.ModelName]time.Time{"m": time.Now().Add(6 * time.Second)}
		r.SetForecasts(forecasts)
		delete(forecasts, "m") // guards against forecasts that another goroutine changes meanwhile
		a := do(t, stream(r, "q"))
		wantStatus(t, a, http.StatusServiceUnavailable)
		back, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, back > 5 && back <= 6, "%v", back)
		assert.Equal(t, w.Ran("q"), 0)
	})
	t.Run("not at all where the model comes too late", func(t *testing.T) {
		r := newRig(t)
		w := empty(t, r)
		r.SetForecasts(map[core.ModelName]time.Time{"m": time.Now().Add(time.Hour)})
		a := do(t, stream(r, "q"))
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Equal(t, w.Ran("q"), 0)
	})
	t.Run("not past a planned stop", func(t *testing.T) {
		// An entry begins to stop while a request waits for a load. If the connection
		// were closed at the end of the stop, the caller could not know that the request
		// has not run.
		r := newRig(t)
		empty(t, r)
		got := make(chan answer, 1)
		go func() { got <- do(t, stream(r, "q")) }()
		<-r.Waiting()
		r.Drain(time.Now(), time.Now().Add(time.Minute))
		a := <-got
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(a.body, string(core.CodeLeaving)))
	})
	t.Run("until its time is over", func(t *testing.T) {
		r := newRig(t)
		empty(t, r)
		req := stream(r, "q")
		req.Header.Set("X-Radishwell-Deadline-Ms", "120")
		wantStatus(t, do(t, req), http.StatusServiceUnavailable)
	})
}

func TestAdapters(t *testing.T) {
	ask := func(r *rig) *http.Request {
		return r.ask(t, http.MethodPost, "/stream/x", "q", "X-Radishwell-Model", "m/a1", "X-Radishwell-Deadline-Ms", "400")
	}
	t.Run("loaded before the request is sent", func(t *testing.T) {
		r := newRig(t)
		w := r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 2})
		wantStatus(t, do(t, ask(r)), http.StatusOK)
		assert.Equal(t, r.adapters.count.Load(), int64(1))
		assert.Equal(t, len(w.Requests()), 1)
	})
	t.Run("one that cannot be loaded sends nothing", func(t *testing.T) {
		r := newRig(t)
		w := r.add(t, "llm", &stand.Worker{ID: "i-1", Events: 2})
		r.adapters.err = &core.EngineError{Fault: core.EngineNoMemory}
		wantStatus(t, do(t, ask(r)), http.StatusServiceUnavailable)
		assert.Equal(t, len(w.Requests()), 0)
	})
}

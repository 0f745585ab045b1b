package deploy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/config"
	"radishwell/io/deploy"
	"radishwell/io/events"
	"radishwell/io/fakes/ports"
	"radishwell/platform/stand"
)

func TestMain(m *testing.M) {
	events.Discard()
	m.Run()
}

// patience is how long tests wait for a condition.
const patience = 30 * time.Second

// fleet is a store, upstreams with their agents, and entries. Each upstream's host has a
// loopback address of its own.
type fleet struct {
	store     *stand.Store
	storeAt   netip.AddrPort
	agentPort int
	peers     []netip.AddrPort
	// maxDirect is the number of agents up to which entries poll all agents themselves.
	maxDirect int
	// retrySpan and retrySpare are settings of entries; zero means the defaults.
	retrySpan  time.Duration
	retrySpare float64
	// agents are the settings of the agents that run, and stopAgents ends each of them.
	agents     []config.Settings
	stopAgents []func()
	// sent counts the requests of countServed.
	sent int
}

// serve serves a handler on a free port until the test ends.
func serve(t *testing.T, ip string, h http.Handler) netip.AddrPort {
	t.Helper()
	lis, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	srv := httptest.NewUnstartedServer(h)
	_ = srv.Listener.Close()
	srv.Listener = lis
	srv.Start()
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(lis.Addr().String())
}

// entryHost is the address that all entries listen on, on different ports.
var entryHost = ports.Host(200)

// usedPorts are the ports that freePort has returned, so that it returns none twice.
var usedPorts sync.Map

// freePort returns an address with an unused port, which outgoing connections do not use.
func freePort(t *testing.T, host netip.Addr) netip.AddrPort {
	t.Helper()
	for {
		free, err := ports.FreeOn(host, 1)
		assert.NilError(t, err)
		if _, taken := usedPorts.LoadOrStore(free[0].Port(), true); !taken {
			return free[0]
		}
	}
}

// newFleet returns a fleet with a store and a routing table.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{store: &stand.Store{}, maxDirect: 64}
	f.storeAt = serve(t, "127.0.0.1", f.store)
	f.agentPort = int(freePort(t, ports.Host(1)).Port())
	f.store.Put("config", "main", `{"version":1,"routes":[
	 {"name":"r-1","host":"a.example","path_prefix":"/chat/","route_kind":"streaming","timeout_ms":30000,"target_latency_ms":800,"service":"llm","max_attempts":2,"resumable":true}],
	 "services":[{"name":"llm","health_path":"/healthz","engine":{"slots":64,"weights_mb":200,"adapter_slots":2,"loads_per_s":4,"models":[
	  {"name":"m-1","weights_mb":70,"load_s":0.1,"warm_s":0.1,"disk_s":0.1,"adapters":2,"adapter_mb":1},
	  {"name":"m-2","weights_mb":70,"load_s":0.1,"warm_s":0.1,"disk_s":0.1}]}}]}`)
	return f
}

// settings returns the settings of a process without its addresses.
func (f *fleet) settings(role config.Role, name string) config.Settings {
	s := config.Defaults()
	s.Role, s.Name, s.DataCentre = role, core.HostName(name), "dc-1"
	s.Platform.URLs = []config.Origin{{Addr: f.storeAt}}
	s.Managed.Enabled, s.Managed.PlainPeers, s.Managed.AgentPort = true, true, f.agentPort
	s.Managed.StopGrace = 5 * time.Second
	s.Managed.DirectAgents = f.maxDirect
	if f.retrySpan > 0 {
		s.Managed.RetrySpan, s.Managed.RetrySpare = f.retrySpan, f.retrySpare
	}
	return s
}

// start runs a process until stop is called or the test ends.
func start(t *testing.T, s config.Settings) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&deploy.Process{Settings: s}).Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		err := <-ended
		assert.Check(t, err == nil, "the process ended with %v", err)
	}
	t.Cleanup(stop)
	return stop
}

// addEngine starts an upstream without an agent and registers it.
func (f *fleet) addEngine(t *testing.T, n int, held ...stand.Held) *stand.Worker {
	t.Helper()
	w, _ := f.startEngine(t, n, held...)
	return w
}

// startEngine is addEngine, and returns the engine's address as well.
func (f *fleet) startEngine(t *testing.T, n int, held ...stand.Held) (*stand.Worker, netip.AddrPort) {
	t.Helper()
	w := &stand.Worker{ID: fmt.Sprintf("i-%d", n), Events: 5, LoadTime: 100 * time.Millisecond}
	w.SetModels(held...)
	at := serve(t, ports.Host(n).String(), w)
	f.store.Put("servers", w.ID, fmt.Sprintf(`{"service":"llm","address":%q,"zone":"dc-1","slots":64,"state":"ready","sequence":0}`, at))
	return w, at
}

// addUpstream starts an upstream with its agent and registers it.
func (f *fleet) addUpstream(t *testing.T, n int, held ...stand.Held) *stand.Worker {
	t.Helper()
	w, at := f.startEngine(t, n, held...)
	f.addAgent(t, n, at)
	return w
}

// addAgent starts the agent of an upstream.
func (f *fleet) addAgent(t *testing.T, n int, at netip.AddrPort) {
	t.Helper()
	s := f.settings(config.Agent, fmt.Sprintf("side-%d", n))
	s.Managed.Upstream = at
	s.Listen.Control = netip.AddrPortFrom(at.Addr(), uint16(f.agentPort))
	s.Listen.Operators = freePort(t, ports.Host(n))
	f.agents = append(f.agents, s)
	f.stopAgents = append(f.stopAgents, start(t, s))
}

// startAgentsAgain starts all agents after they have ended.
func (f *fleet) startAgentsAgain(t *testing.T) {
	t.Helper()
	for i, s := range f.agents {
		s.Listen.Operators = freePort(t, s.Listen.Control.Addr())
		f.stopAgents[i] = start(t, s)
	}
}

// running is an entry that runs.
type running struct {
	callers, readiness, operators netip.AddrPort
	stop                          func()
}

// addEntry starts an entry whose peers are those that were added before it.
func (f *fleet) addEntry(t *testing.T, name string) running {
	t.Helper()
	s := f.settings(config.Entry, name)
	r := running{callers: freePort(t, entryHost), readiness: freePort(t, entryHost), operators: freePort(t, entryHost)}
	s.Listen.Callers, s.Managed.Readiness, s.Listen.Operators = r.callers, r.readiness, r.operators
	s.Listen.Control = freePort(t, entryHost)
	s.Peers = append([]netip.AddrPort{s.Listen.Control}, f.peers...)
	f.peers = append(f.peers, s.Listen.Control)
	r.stop = start(t, s)
	return r
}

// get returns the status and body of a response; status 0 if there is none.
func get(t *testing.T, at netip.AddrPort, path string) (int, string) {
	t.Helper()
	resp, err := http.Get("http://" + at.String() + path)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// until waits until a condition holds, and fails the test after patience.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

// waitReady waits until the entry is ready.
func (r running) waitReady(t *testing.T) {
	t.Helper()
	until(t, "the entry is ready", func() bool {
		status, _ := get(t, r.readiness, "/-/readyz")
		return status == http.StatusOK
	})
}

// sendChat sends a request for a model to an entry, and returns the status and body of the
// response; status 0 if there is none.
func sendChat(t *testing.T, r running, id, model string) (int, string) {
	t.Helper()
	return sendBody(t, r, id, model, "{}")
}

// sendBody is sendChat with a body.
func sendBody(t *testing.T, r running, id, model, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+r.callers.String()+"/chat/x", strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set("X-Radishwell-Request-Id", id)
	req.Header.Set("X-Radishwell-Model", model)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(answer) // the answer broke off
	}
	return resp.StatusCode, string(answer)
}

// wantChat fails the test unless a request is answered with a whole stream.
func wantChat(t *testing.T, r running, id, model string) {
	t.Helper()
	status, body := sendChat(t, r, id, model)
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, strings.Count(body, "data: event"), 5, body)
}

// A request for a model that is not loaded anywhere must have the model loaded and be
// answered.
func TestModelIsLoadedAndServed(t *testing.T) {
	f := newFleet(t)
	w := f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	wantChat(t, e, "q-1", "m-1")
	wantChat(t, e, "q-2", "m-2")
	wantChat(t, e, "q-3", "m-1/a1")
	until(t, "orders for the model and the adapter", func() bool { return len(w.Orders()) == 2 })
	assert.DeepEqual(t, w.Orders(), []string{"load m-2", "load m-1/a1"})
	status, text := get(t, e.operators, "/metrics")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(text, "radishwell_requests_total"), text)
}

// In a large fleet most entries poll no agents themselves. A request to such an entry for a
// model that is not loaded anywhere must still be answered, and have its adapter loaded: the
// entry reports its demand to a relay, which plans the load.
func TestModelIsLoadedThroughRelay(t *testing.T) {
	f := newFleet(t)
	f.maxDirect = 0
	w := f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	relay := f.addEntry(t, "edge-1")
	other := f.addEntry(t, "edge-2")
	for _, e := range []running{relay, other} {
		e.waitReady(t)
	}
	wantChat(t, other, "q-1", "m-1")
	wantChat(t, other, "q-2", "m-2")
	wantChat(t, other, "q-3", "m-1/a1")
	until(t, "orders for the model and the adapter", func() bool { return len(w.Orders()) == 2 })
	assert.DeepEqual(t, w.Orders(), []string{"load m-2", "load m-1/a1"})
	relay.stop()
	until(t, "the other entry has the model loaded", func() bool {
		status, _ := sendChat(t, other, "q-4", "m-2")
		return status == http.StatusOK
	})
}

// Guards against engines without agents that receive no orders. Requests for a model that
// was not loaded anywhere then waited until their callers gave up, though the engines worked.
// An entry has to order such engines.
func TestEngineWithoutAgentIsOrdered(t *testing.T) {
	f := newFleet(t)
	w := f.addEngine(t, 1, stand.Held{Name: "m-1"})
	entries := []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
	for _, e := range entries {
		e.waitReady(t)
	}
	served := func(e running, model string) {
		n := 0
		until(t, "a caller of "+model+" is served", func() bool {
			n++
			status, _ := sendChat(t, e, fmt.Sprint(model, n), model)
			return status == http.StatusOK
		})
	}
	served(entries[1], "m-1")
	served(entries[1], "m-2")
	served(entries[0], "m-1/a1")
	assert.DeepEqual(t, w.Orders(), []string{"load m-2", "load m-1/a1"})
}

// During an outage of the store, requests must still be served, and an entry that starts must
// get the routing table and the registry from its peer.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t)
	f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	first := f.addEntry(t, "edge-1")
	first.waitReady(t)
	wantChat(t, first, "q-1", "m-1")
	f.store.SetFault(stand.Down)
	wantChat(t, first, "q-2", "m-1")
	second := f.addEntry(t, "edge-2")
	second.waitReady(t)
	wantChat(t, second, "q-3", "m-1")
	f.store.SetFault(stand.Fine)
	f.store.Remove("servers", "i-1")
	for _, e := range []running{first, second} {
		until(t, "the entry is not ready without hosts", func() bool {
			status, _ := get(t, e.readiness, "/-/readyz")
			return status == http.StatusServiceUnavailable
		})
	}
}

// An invalid routing table must leave the last valid one in force, and a valid one must take
// effect at all entries.
func TestTableChanges(t *testing.T) {
	f := newFleet(t)
	f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	entries := []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
	for _, e := range entries {
		e.waitReady(t)
	}
	f.store.Put("config", "main", `{"version":2,"routes":"unreadable"}`)
	for i, e := range entries {
		wantChat(t, e, fmt.Sprint("before-", i), "m-1")
	}
	f.store.Put("config", "main", `{"version":3,"routes":[],"services":[{"name":"llm"}]}`)
	for i, e := range entries {
		until(t, "the route is gone", func() bool {
			status, _ := sendChat(t, e, fmt.Sprint("q-", i), "m-1")
			return status == http.StatusNotFound
		})
	}
}

// An entry that is stopped during a request must fail the load balancer's health check at
// once, complete the request, and stop within its grace period.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t)
	w := f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	w.Gap = 100 * time.Millisecond
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	ended := make(chan string, 1)
	go func() {
		_, body := sendChat(t, e, "q-1", "m-1")
		ended <- body
	}()
	until(t, "the request runs", func() bool { return w.Ran("q-1") == 1 })
	stopped := make(chan struct{})
	go func() {
		e.stop()
		close(stopped)
	}()
	until(t, "the health check fails", func() bool {
		status, _ := get(t, e.readiness, "/-/readyz")
		return status != http.StatusOK
	})
	assert.Equal(t, strings.Count(<-ended, "data: event"), 5)
	<-stopped
}

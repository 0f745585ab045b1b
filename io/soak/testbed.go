package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"radishwell/io/fakes/midbox"
	"radishwell/io/fakes/ports"
	"radishwell/io/fakes/still"
	"radishwell/platform/stand"
)

const (
	// entries, engines and services are the numbers of hosts of a run. They are small,
	// but leave other hosts of each kind if any one is lost.
	entries  = 3
	engines  = 4
	services = 2
	// entryHost is the number of the loopback address at which entries listen. Upstreams
	// use the addresses from 1.
	entryHost = 200
	// streamEvents and eventGap determine the length of a stream, which is about that of
	// most faults.
	streamEvents = 12
	eventGap     = 40 * time.Millisecond
	// longGap is the gap in runs in which streams have to outlast the time until they are saved.
	longGap = 200 * time.Millisecond
	// limitedRate is the rate limit of one of the customers, in requests per second. It
	// is below the rate at which its callers send.
	limitedRate = 4
	// extraRoutes is the number of routes that a large table has in addition to those that
	// callers use.
	extraRoutes = 1400
	// entryMemory and bufferShare give an entry less memory for what it holds than the slow
	// readers' requests take.
	entryMemory = "32MiB"
	bufferShare = 0.03
	// loadTime is the time that an engine takes to load a model.
	loadTime = 200 * time.Millisecond
)

// size is the numbers of entries, engines and upstreams of a plain service.
type size struct{ entries, engines, services int }

// upstream is a stand-in of an upstream host, with the boxes in front of it.
type upstream struct {
	*stand.Worker
	// process stops and continues the host's process.
	process *still.Listener

	ip string
	// at is the address at which the host itself listens. The registry has the address
	// of box instead.
	at  netip.AddrPort
	box *midbox.Box
	// versions are the starts of its runs at software versions. statedVersion is what the
	// registry entry states instead of the version, in JSON; empty if it states the version.
	versions      []versionChange
	statedVersion string
	// started is the start time of the current incarnation, as in the registry.
	started int64
	// agentBox is the box through which entries reach the agent. It is nil for a plain
	// service.
	agentBox *midbox.Box
}

// testbed holds all parts of a run: the store, upstreams, entries and agents.
type testbed struct {
	dir     string
	program []string
	size    size
	// memory is the limit of an entry's memory.
	memory string
	// budget bounds the repeats that the upstreams of a service receive.
	budget repeatBudget
	// maxDirect is the number of agents that each entry follows itself.
	maxDirect int
	// gap is the pause between two events of a stream, and work the time from when an upstream reads a request until it
	// begins to answer.
	gap, work time.Duration
	// crashAfter is the time from the first event until a request crashes its upstream.
	crashAfter time.Duration
	// loseAgents is set if all agents are killed with all entries.
	loseAgents bool
	store      *stand.Store
	storeAt    netip.AddrPort

	upstreams []*upstream
	entries   []*Proc
	agents    []*Proc
	// storeBoxes holds the boxes between the processes and the store, in the order in
	// which the processes were started.
	storeBoxes []*midbox.Box
	// entryAddrs holds the addresses of the entries for callers.
	entryAddrs []netip.AddrPort

	// startCrashing starts a caller that repeats a request that crashes upstreams.
	startCrashing func(Step)
	// startProper starts a caller that repeats a proper request.
	startProper func(Step)
	// startCrashingPart starts a caller of requests with a part that crashes upstreams, and
	// preferEntry has callers open most connections to one entry until the returned function is
	// called.
	startCrashingPart func(Step)
	preferEntry       func(Step) (end func())
	// readSlowly has callers send large requests and read nothing until the returned function is
	// called.
	readSlowly func(Step) (end func())

	mu      sync.Mutex
	version int
	// table is the latest version of the routing table.
	table string
	// extra is the number of routes of the table in addition to those that callers use.
	extra   int
	closers []func()
}

// close stops all parts, in the reverse order of their start.
func (t *testbed) close() {
	for i := len(t.closers) - 1; i >= 0; i-- {
		t.closers[i]()
	}
}

func (t *testbed) serve(on string, h http.Handler) (netip.AddrPort, *still.Listener, error) {
	tcp, err := net.Listen("tcp", on)
	if err != nil {
		return netip.AddrPort{}, nil, &StartError{What: "a stand-in on " + on, Cause: err}
	}
	lis := still.New(tcp)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }() // it ends with Close
	t.closers = append(t.closers, func() { _ = srv.Close() })
	return lis.Addr().(*net.TCPAddr).AddrPort(), lis, nil
}

// newBox starts a box that relays connections between two processes.
func (t *testbed) newBox(on, to netip.AddrPort) (*midbox.Box, error) {
	b, err := midbox.NewOn(on, to)
	if err != nil {
		return nil, &StartError{What: "a box on " + on.String(), Cause: err}
	}
	t.closers = append(t.closers, b.Close)
	return b, nil
}

// build starts all parts.
func (t *testbed) build() error {
	var err error
	t.store = &stand.Store{}
	if t.storeAt, _, err = t.serve("127.0.0.1:0", t.store); err != nil {
		return err
	}
	free, err := ports.FreeOn(ports.Host(entryHost), 3+4*t.size.entries)
	if err != nil {
		return &StartError{What: "the test bed", Cause: err}
	}
	agent := agentPorts{box: free[0].Port(), own: free[1].Port(), operators: free[2].Port()}
	t.writeTable()
	for i := range t.size.engines + t.size.services {
		if err := t.addUpstream(i, agent); err != nil {
			return err
		}
	}
	seeds := []string{}
	for i := range t.size.entries {
		seeds = append(seeds, free[3+4*i].String())
	}
	for i := range t.size.entries {
		if err := t.addEntry(i, free[3+4*i:7+4*i], agent.box, seeds); err != nil {
			return err
		}
	}
	return nil
}

// newestPath returns a path of a route that only the newest table has.
func (t *testbed) newestPath() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("/version-%d/x", t.version)
}

// resizeTable writes the next version of the routing table. It alternates between a
// large and a small table.
func (t *testbed) resizeTable() {
	t.mu.Lock()
	t.extra = extraRoutes - t.extra
	t.mu.Unlock()
	t.writeTable()
}

// writeTable writes the next version of the routing table.
func (t *testbed) writeTable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	route := func(name, kind, service string, attempts int, extra string) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","path_prefix":"/%s/","route_kind":%q,"timeout_ms":4000,"target_latency_ms":800,"gap_aim_ms":600,"service":%q,"max_attempts":%d%s}`,
			name, name, kind, service, attempts, extra)
	}
	routes := []string{
		route("once", "non_idempotent", "plain", 1, ""), route("again", "idempotent", "plain", 2, ""),
		route("stream", "streaming", "llm", 1, ""), route("resumed", "streaming", "llm", 2, `,"resumable":true`),
		route(fmt.Sprintf("version-%d", t.version), "idempotent", "plain", 2, ""),
	}
	for i := range t.extra {
		routes = append(routes, route(fmt.Sprintf("more-%d-%x", i, rand.Uint64()), "idempotent", "plain", 2, ""))
	}
	t.table = fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"plain","health_path":"/healthz"},{"name":"llm","health_path":"/healthz","engine":{"slots":64,"weights_mb":200,"adapter_slots":2,"loads_per_s":20,
	 "models":[{"name":"m-1","weights_mb":70,"load_s":0.2,"warm_s":0.2,"disk_s":0.2},{"name":"m-2","weights_mb":70,"load_s":0.2,"warm_s":0.2,"disk_s":0.2}]}}],
	 "tenants":[{"name":"free","api_keys":["key-free"]},{"name":"limited","api_keys":["key-limited"],"rate_per_s":%d,"burst":%d}]}`,
		t.version, strings.Join(routes, ","), limitedRate, limitedRate)
	t.store.Put("config", "main", t.table)
}

// agentPorts holds the ports of an agent, which are the same on all hosts: that of the
// box through which entries reach it, that at which it listens itself, and that for
// operators.
type agentPorts struct{ box, own, operators uint16 }

func (t *testbed) addUpstream(i int, agent agentPorts) error {
	u := &upstream{Worker: &stand.Worker{ID: fmt.Sprintf("i-%d", i), LoadTime: loadTime, Prefill: t.work, Plain: i >= t.size.engines, Poison: poisonPrefix, PoisonPart: poisonPart, CrashAfter: t.crashAfter}, ip: ports.Host(i + 1).String(), started: 1}
	u.OnCrash = func() { t.restart(u) }
	u.Restart(u.started)
	if !u.Plain {
		u.Events, u.Gap = streamEvents, t.gap
		u.SetModels(stand.Held{Name: fmt.Sprintf("m-%d", 1+i%2), Version: 1})
		u.setVersion(softwareVersions[i*2/t.size.engines])
	}
	var err error
	if u.at, u.process, err = t.serve(u.ip+":0", u.Worker); err != nil {
		return err
	}
	if u.box, err = t.newBox(netip.AddrPortFrom(u.at.Addr(), 0), u.at); err != nil {
		return err
	}
	t.upstreams = append(t.upstreams, u)
	t.register(u)
	if u.Plain {
		return nil
	}
	own := netip.AddrPortFrom(u.at.Addr(), agent.own)
	if u.agentBox, err = t.newBox(netip.AddrPortFrom(u.at.Addr(), agent.box), own); err != nil {
		return err
	}
	store, err := t.newStoreBox()
	if err != nil {
		return err
	}
	p, err := t.start("agent", fmt.Sprintf("side-%d", i), settings{
		"listen":   map[string]string{"control": own.String(), "operators": netip.AddrPortFrom(u.at.Addr(), agent.operators).String()},
		"platform": map[string]any{"urls": []string{"http://" + store.String()}},
		"managed":  map[string]any{"enabled": true, "plain-peers": true, "upstream": u.at.String(), "stop-grace": "3s"},
	})
	t.agents = append(t.agents, p)
	return err
}

// service returns the name of the upstream's service.
func (u *upstream) service() string {
	if u.Plain {
		return "plain"
	}
	return "llm"
}

// register writes the registry entry of an upstream.
func (t *testbed) register(u *upstream) {
	t.store.Put("servers", u.ID, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc-1","slots":64,"state":"ready","sequence":0,"born":%d,"version":%s}`, u.service(), u.box.At(), u.started, u.quoted()))
}

func (t *testbed) addEntry(i int, at []netip.AddrPort, agentPort uint16, seeds []string) error {
	store, err := t.newStoreBox()
	if err != nil {
		return err
	}
	p, err := t.start("entry", fmt.Sprintf("edge-%d", i), settings{
		"listen":   map[string]string{"control": at[0].String(), "callers": at[1].String(), "operators": at[2].String()},
		"platform": map[string]any{"urls": []string{"http://" + store.String()}},
		"peers":    seeds,
		"managed":  map[string]any{"enabled": true, "plain-peers": true, "readiness": at[3].String(), "agent-port": agentPort, "stop-grace": "3s", "direct-agents": t.maxDirect, "quota-ratio": 0, "quota-slack": limitedSlack, "retry-ratio": t.budget.ratio, "retry-spare": t.budget.spare, "retry-span": t.budget.span.String(), "memory": t.memory, "buffer-share": bufferShare},
	})
	t.entries = append(t.entries, p)
	t.entryAddrs = append(t.entryAddrs, at[1])
	return err
}

func (t *testbed) newStoreBox() (netip.AddrPort, error) {
	b, err := t.newBox(netip.AddrPortFrom(t.storeAt.Addr(), 0), t.storeAt)
	if err != nil {
		return netip.AddrPort{}, err
	}
	t.storeBoxes = append(t.storeBoxes, b)
	return b.At(), nil
}

// settings holds the settings of a process. They are written as JSON, which is valid
// YAML.
type settings map[string]any

func (t *testbed) start(role, name string, s settings) (*Proc, error) {
	s["role"], s["name"], s["data-centre"] = role, name, "dc-1"
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, &StartError{What: name, Cause: err}
	}
	file := filepath.Join(t.dir, name+".yaml")
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return nil, &StartError{What: name, Cause: err}
	}
	p := &Proc{Name: name, Args: append(append([]string{}, t.program...), role, file), Dir: t.dir}
	if err := p.Run(); err != nil {
		return nil, err
	}
	t.closers = append(t.closers, p.Close)
	return p, nil
}

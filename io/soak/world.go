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
	"radishwell/platform/stand"
)

const (
	// entries, engines and services are the hosts of a world. Two entries and three
	// upstreams of each kind are the fewest where any one may be lost.
	entries  = 2
	engines  = 3
	services = 2
	// entryHost numbers the address at which entries listen; upstreams have the first ones.
	entryHost = 200
	// streamEvents and eventGap make a stream last about as long as most faults.
	streamEvents = 12
	eventGap     = 40 * time.Millisecond
	// limitedRate is the requests a second that one of the customers may send: fewer than
	// it does.
	limitedRate = 4
	// moreRoutes is how many routes a large table has beside those that callers use.
	moreRoutes = 1400
	// loadTime is how long an engine takes to load a model.
	loadTime = 200 * time.Millisecond
)

// upstream is a stand-in of an upstream host with the links to it.
type upstream struct {
	*stand.Worker

	ip string
	// at is where the host itself listens; the registry names the link's address.
	at   netip.AddrPort
	link *midbox.Box
	born int64
	// agentLink is where entries find the agent, nil for a plain service.
	agentLink *midbox.Box
}

// world is all parts of a run: the store, upstreams, entries and agents.
type world struct {
	dir     string
	program []string
	// mostDirect is how many agents each entry follows itself.
	mostDirect int
	store      *stand.Store
	storeAt    netip.AddrPort

	upstreams []*upstream
	entries   []*Proc
	agents    []*Proc
	// storeLinks are the links of the processes to the store, entries first.
	storeLinks []*midbox.Box
	fronts     []netip.AddrPort

	mu      sync.Mutex
	version int
	// more is how many routes the table has beside those that callers use.
	more    int
	closers []func()
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *world) serve(on string, h http.Handler) (netip.AddrPort, error) {
	lis, err := net.Listen("tcp", on)
	if err != nil {
		return netip.AddrPort{}, &StartError{What: "a stand-in on " + on, Cause: err}
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }() // it ends with Close
	w.closers = append(w.closers, func() { _ = srv.Close() })
	return lis.Addr().(*net.TCPAddr).AddrPort(), nil
}

// newLink starts the relay between two processes.
func (w *world) newLink(on, to netip.AddrPort) (*midbox.Box, error) {
	l, err := midbox.NewOn(on, to)
	if err != nil {
		return nil, &StartError{What: "a link on " + on.String(), Cause: err}
	}
	w.closers = append(w.closers, l.Close)
	return l, nil
}

// build starts everything.
func (w *world) build() error {
	var err error
	w.store = &stand.Store{}
	if w.storeAt, err = w.serve("127.0.0.1:0", w.store); err != nil {
		return err
	}
	free, err := ports.FreeOn(ports.Host(entryHost), 3+4*entries)
	if err != nil {
		return &StartError{What: "the world", Cause: err}
	}
	agent := agentPorts{link: free[0].Port(), own: free[1].Port(), operators: free[2].Port()}
	w.newTable()
	for i := range engines + services {
		if err := w.addUpstream(i, agent); err != nil {
			return err
		}
	}
	seeds := []string{}
	for i := range entries {
		seeds = append(seeds, free[3+4*i].String())
	}
	for i := range entries {
		if err := w.addEntry(i, free[3+4*i:7+4*i], agent.link, seeds); err != nil {
			return err
		}
	}
	return nil
}

// newestPath is a path of a route that only the newest table has.
func (w *world) newestPath() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("/version-%d/x", w.version)
}

// resizeTable writes the next version of the routing table, a large one after a small one
// and the other way round.
func (w *world) resizeTable() {
	w.mu.Lock()
	w.more = moreRoutes - w.more
	w.mu.Unlock()
	w.newTable()
}

// newTable writes the next version of the routing table.
func (w *world) newTable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, kind, service string, attempts int, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","path_prefix":"/%s/","route_kind":%q,"timeout_ms":4000,"target_latency_ms":800,"gap_aim_ms":600,"service":%q,"max_attempts":%d%s}`,
			name, name, kind, service, attempts, more)
	}
	routes := []string{
		route("once", "non_idempotent", "plain", 1, ""), route("again", "idempotent", "plain", 2, ""),
		route("stream", "streaming", "llm", 1, ""), route("resumed", "streaming", "llm", 2, `,"resumable":true`),
		route(fmt.Sprintf("version-%d", w.version), "idempotent", "plain", 2, ""),
	}
	for i := range w.more {
		routes = append(routes, route(fmt.Sprintf("more-%d-%x", i, rand.Uint64()), "idempotent", "plain", 2, ""))
	}
	w.store.Put("config", "main", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"plain"},{"name":"llm","engine":{"slots":64,"weights_mb":200,"adapter_slots":2,"loads_per_s":20,
	 "models":[{"name":"m-1","weights_mb":70,"load_s":0.2,"warm_s":0.2,"disk_s":0.2},{"name":"m-2","weights_mb":70,"load_s":0.2,"warm_s":0.2,"disk_s":0.2}]}}],
	 "tenants":[{"name":"free","api_keys":["key-free"]},{"name":"limited","api_keys":["key-limited"],"rate_per_s":%d,"burst":%d}]}`,
		w.version, strings.Join(routes, ","), limitedRate, limitedRate))
}

// agentPorts are the same on all hosts: where entries find the agent, where it
// listens itself, and where operators find it.
type agentPorts struct{ link, own, operators uint16 }

func (w *world) addUpstream(i int, agent agentPorts) error {
	u := &upstream{Worker: &stand.Worker{ID: fmt.Sprintf("i-%d", i), LoadTime: loadTime, Plain: i >= engines}, ip: ports.Host(i + 1).String(), born: 1}
	u.Restart(u.born)
	if !u.Plain {
		u.Events, u.Gap = streamEvents, eventGap
		u.SetModels(stand.Held{Name: fmt.Sprintf("m-%d", 1+i%2), Version: 1})
	}
	var err error
	if u.at, err = w.serve(u.ip+":0", u.Worker); err != nil {
		return err
	}
	if u.link, err = w.newLink(netip.AddrPortFrom(u.at.Addr(), 0), u.at); err != nil {
		return err
	}
	w.upstreams = append(w.upstreams, u)
	w.register(u)
	if u.Plain {
		return nil
	}
	own := netip.AddrPortFrom(u.at.Addr(), agent.own)
	if u.agentLink, err = w.newLink(netip.AddrPortFrom(u.at.Addr(), agent.link), own); err != nil {
		return err
	}
	store, err := w.storeLink()
	if err != nil {
		return err
	}
	p, err := w.start("agent", fmt.Sprintf("side-%d", i), settings{
		"listen":   map[string]string{"control": own.String(), "operators": netip.AddrPortFrom(u.at.Addr(), agent.operators).String()},
		"platform": map[string]any{"urls": []string{"http://" + store.String()}},
		"managed":  map[string]any{"enabled": true, "plain-peers": true, "upstream": u.at.String(), "stop-grace": "3s"},
	})
	w.agents = append(w.agents, p)
	return err
}

// register writes an upstream's entry of the registry.
func (w *world) register(u *upstream) {
	service := "llm"
	if u.Plain {
		service = "plain"
	}
	w.store.Put("servers", u.ID, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc-1","slots":64,"state":"ready","sequence":0,"born":%d}`, service, u.link.At(), u.born))
}

func (w *world) addEntry(i int, at []netip.AddrPort, agentPort uint16, seeds []string) error {
	store, err := w.storeLink()
	if err != nil {
		return err
	}
	p, err := w.start("entry", fmt.Sprintf("edge-%d", i), settings{
		"listen":   map[string]string{"control": at[0].String(), "callers": at[1].String(), "operators": at[2].String()},
		"platform": map[string]any{"urls": []string{"http://" + store.String()}},
		"peers":    seeds,
		"managed":  map[string]any{"enabled": true, "plain-peers": true, "readiness": at[3].String(), "agent-port": agentPort, "stop-grace": "3s", "direct-agents": w.mostDirect, "quota-ratio": 0, "quota-slack": limitedSlack},
	})
	w.entries = append(w.entries, p)
	w.fronts = append(w.fronts, at[1])
	return err
}

func (w *world) storeLink() (netip.AddrPort, error) {
	l, err := w.newLink(netip.AddrPortFrom(w.storeAt.Addr(), 0), w.storeAt)
	if err != nil {
		return netip.AddrPort{}, err
	}
	w.storeLinks = append(w.storeLinks, l)
	return l.At(), nil
}

// settings are a process's, as in its file; JSON is YAML too.
type settings map[string]any

func (w *world) start(role, name string, s settings) (*Proc, error) {
	s["role"], s["name"], s["data-centre"] = role, name, "dc-1"
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, &StartError{What: name, Cause: err}
	}
	file := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return nil, &StartError{What: name, Cause: err}
	}
	p := &Proc{Name: name, Args: append(append([]string{}, w.program...), role, file), Dir: w.dir}
	if err := p.Run(); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, p.Close)
	return p, nil
}

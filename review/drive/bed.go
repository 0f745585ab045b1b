//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"radishwell/io/fakes/ports"
	"radishwell/platform/stand"
)

// host is the host name of all requests, and zone that of all machines.
const (
	host = "ficu95.example"
	zone = "ariana"
)

// readyTimeout bounds the wait for an entry that the script starts.
const readyTimeout = 15 * time.Second

// bed has the stand-ins of one deployment. The entries reach the store through the relay.
type bed struct {
	*play
	number  int
	store   *stand.Store
	relay   *relay
	storeAt string

	mu      sync.Mutex
	version int
}

// manifest writes the next version of the manifest, in which the only route goes to a service.
func (b *bed) manifest(service string) {
	b.mu.Lock()
	b.version += 3
	version := b.version
	b.mu.Unlock()
	b.store.Put("config", "main", fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"dues-post","host":%q,"path_prefix":"/puxa403/","route_kind":"non_idempotent","service":%q,
		"max_attempts":1,"timeout_ms":800,"target_latency_ms":300,"priority":2}],
		"services":[{"name":%q,"max_connections":110},{"name":%q,"max_connections":110}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, host, service, oldService, newService,
	))
	b.record.add("deployment %d: the store has acknowledged version %d: the route goes to %s", b.number, version, service)
}

// register writes the entry of a worker.
func (b *bed) register(id, service, address string) {
	b.store.Put("servers", id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":0}`, service, address, zone,
	))
}

func newBed(p *play, number int) (*bed, error) {
	b := &bed{play: p, number: number, store: &stand.Store{}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(lis, b.store) }()
	b.relay = &relay{to: lis.Addr().String(), open: map[*channel]bool{}}
	through, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAt = through.Addr().String()
	go b.relay.serve(through)
	return b, nil
}

// entry is an entry as its callers know it.
type entry struct {
	name               string
	callers, readiness netip.AddrPort
}

// seeds is the number of entries whose addresses are in the settings.
const seeds = 3

// startEntries writes the settings of so many entries, as deploy/settings.yaml has them for the site, and waits
// until the script has started them and they are ready. JSON is valid YAML.
func (b *bed) startEntries(n int) ([]entry, error) {
	const each = 4
	at, err := ports.Free(n * each)
	if err != nil {
		return nil, err
	}
	var peers []netip.AddrPort
	for i := range min(n, seeds) {
		peers = append(peers, at[i*each])
	}
	var entries []entry
	for i := range n {
		own := at[i*each : (i+1)*each]
		e := entry{name: fmt.Sprintf("edge-%d-%d", b.number, i+1), callers: own[1], readiness: own[3]}
		entries = append(entries, e)
		if err := b.writeSettings(e, own[0], own[2], peers); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		for end := time.Now().Add(readyTimeout); !e.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return nil, &startError{e.name}
			}
		}
		b.record.add("deployment %d: %s is ready", b.number, e.name)
	}
	return entries, nil
}

func (b *bed) writeSettings(e entry, control, operators netip.AddrPort, peers []netip.AddrPort) error {
	text, err := json.Marshal(map[string]any{
		"role": "entry", "name": e.name, "data-centre": zone, "region": "tunis", "peers": peers,
		"listen":   map[string]any{"callers": e.callers, "control": control, "operators": operators},
		"platform": map[string]any{"urls": []string{"http://" + b.storeAt}},
		"managed": map[string]any{
			"enabled": true, "plain-peers": true, "readiness": e.readiness, "agent-port": 7380, "cores": 1, "share": 0.304, "memory": "284MiB",
			"stop-grace": "8s", "apply-time": "2000ms", "retry-ratio": 0.2, "retry-spare": 56, "retry-span": "10s",
		},
		"weight-store": map[string]any{"parallel": 2},
	})
	if err != nil {
		return err
	}
	// The script looks for the file under its last name.
	if err := os.WriteFile(b.path(e.name+".tmp"), text, 0o644); err != nil {
		return err
	}
	return os.Rename(b.path(e.name+".tmp"), b.path(e.name+".yaml"))
}

// isReady asks as the platform does.
func (e entry) isReady() bool {
	resp, err := http.Get("http://" + e.readiness.String() + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startError reports an entry that did not become ready.
type startError struct{ name string }

// Error implements error.
func (e *startError) Error() string { return e.name + " is not ready" }

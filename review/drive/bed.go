package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
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

// bed has the stand-ins of a play.
type bed struct {
	*play
	store   *stand.Store
	storeAt string
	version int
}

// route is a route of the manifest to the service of the workers.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	RouteKind   string  `json:"route_kind"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	TimeoutMS   float64 `json:"timeout_ms"`
	TargetMS    float64 `json:"target_latency_ms"`
	GapAimMS    float64 `json:"gap_aim_ms,omitempty"`
	Priority    int     `json:"priority"`
	Resumable   bool    `json:"resumable,omitempty"`
}

// service is the only service.
const service = "sijill"

// manifest writes the next version of the manifest.
func (b *bed) manifest(routes ...route) {
	b.version += 3
	for i := range routes {
		routes[i].Host, routes[i].Service = host, service
	}
	text, _ := json.Marshal(map[string]any{
		"version": b.version, "routes": routes,
		"services": []map[string]any{{"name": service, "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	b.store.Put("config", "main", string(text))
	b.record.add("operator: manifest %s", text)
}

// register writes the entry of a worker.
func (b *bed) register(id, address string) {
	b.store.Put("servers", id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":0}`, service, address, zone,
	))
}

func newBed(p *play) (*bed, error) {
	b := &bed{play: p, store: &stand.Store{}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAt = lis.Addr().String()
	go func() { _ = http.Serve(lis, b.store) }()
	return b, nil
}

// entry is an entry as its callers know it.
type entry struct{ callers, readiness netip.AddrPort }

// addEntry writes the settings of an entry, as deploy/settings.yaml has them for a small deployment, and
// waits until the script has started it and it is ready. JSON is valid YAML.
func (b *bed) addEntry(name string) (entry, error) {
	at, err := ports.Free(4)
	if err != nil {
		return entry{}, err
	}
	e := entry{callers: at[1], readiness: at[3]}
	text, err := json.Marshal(map[string]any{
		"role": "entry", "name": name, "data-centre": zone, "region": "tunis", "peers": []string{at[0].String()},
		"listen":   map[string]any{"callers": e.callers, "control": at[0], "operators": at[2]},
		"platform": map[string]any{"urls": []string{"http://" + b.storeAt}},
		"managed": map[string]any{
			"enabled": true, "plain-peers": true, "readiness": e.readiness, "agent-port": 7380, "cores": 1, "share": 0.304, "memory": "284MiB",
			"stop-grace": "8s", "apply-time": "2000ms", "retry-ratio": 0.2, "retry-spare": 56, "retry-span": "10s",
		},
		"weight-store": map[string]any{"parallel": 2},
	})
	if err != nil {
		return e, err
	}
	// The script looks for the file under its last name.
	if err := os.WriteFile(b.path("settings.tmp"), text, 0o644); err != nil {
		return e, err
	}
	if err := os.Rename(b.path("settings.tmp"), b.path(name+".yaml")); err != nil {
		return e, err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			b.record.add("%s is ready", name)
			return e, nil
		}
	}
	return e, &startError{name}
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

// requestText returns the head of a request with a body of so many bytes.
func requestText(method, target, id string, deadline time.Duration, size int) string {
	lines := []string{
		method + " " + target + " HTTP/1.1", "Host: " + host, "X-Radishwell-Request-Id: " + id,
		fmt.Sprintf("X-Radishwell-Deadline-Ms: %d", deadline.Milliseconds()),
	}
	if size > 0 {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", size))
	}
	return strings.Join(append(lines, "", ""), "\r\n")
}

// fail records why a case cannot run.
func (p *play) fail(err error) int {
	p.record.add("cannot run: %v", err)
	return failed
}

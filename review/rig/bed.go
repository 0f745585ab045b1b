//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"radishwell/platform/stand"
)

// bed is a small deployment on the loopback: the stand-in of the platform's store, stand-ins of
// workers, and an entry process that the script starts.
type bed struct {
	dir     string
	store   *stand.Store
	storeAt netip.AddrPort
	record  *record
	version int

	mu      sync.Mutex
	closers []func()
}

// record is the protocol of a run. Its lines go to record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func newBed(dir string, r *record) (*bed, error) {
	b := &bed{dir: dir, store: &stand.Store{}, record: r}
	var err error
	if b.storeAt, err = b.serve("127.0.0.1", b.store); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *bed) onClose(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

// close ends all parts, the last one first.
func (b *bed) close() {
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
}

// serve serves HTTP at a free port of a loopback address.
func (b *bed) serve(ip string, h http.Handler) (netip.AddrPort, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }() // it ends with Close
	b.onClose(func() { _ = srv.Close() })
	return lis.Addr().(*net.TCPAddr).AddrPort(), nil
}

// freePorts returns free ports of an address, below those that the system gives to channels.
func freePorts(ip string, n int) []string {
	var out []string
	for len(out) < n {
		at := fmt.Sprintf("%s:%d", ip, 15000+rand.N(15000))
		l, err := net.Listen("tcp", at)
		if err != nil || slices.Contains(out, at) {
			continue
		}
		_ = l.Close()
		out = append(out, at)
	}
	return out
}

// writeTable writes the next version of the manifest, without its version.
func (b *bed) writeTable(rest string) {
	b.version++
	b.store.Put("config", "main", fmt.Sprintf(`{"version":%d,"limits":{"max_header_bytes":65536,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":60000},%s}`, b.version, rest))
}

// register lists a worker in the store. A worker writes its entry again at each heartbeat, which changes
// nothing and makes no event, so the stand-in writes it once.
func (b *bed) register(id, service string, at netip.AddrPort, slots int) {
	b.store.Put("servers", id, workerEntry(service, at, slots))
}

// workersBorn is when the stand-ins of workers say that they started, in Unix milliseconds.
const workersBorn = 1_790_000_000_000

func workerEntry(service string, at netip.AddrPort, slots int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":0,"born":%d}`, service, at, slots, workersBorn)
}

// problem is why a case could not run.
type problem string

func (p problem) Error() string { return string(p) }

// entry is an entry process.
type entry struct {
	callers, readiness string
	// ended is the file that the script writes once the process has ended.
	ended string
}

func (e *entry) hasEnded() bool {
	_, err := os.Stat(e.ended)
	return err == nil
}

// startEntry writes the settings of an entry, as the template of the deploy file renders them. The script
// starts its process once they are there.
func (b *bed) startEntry(name string, memoryMB int) (*entry, error) {
	at := freePorts("127.0.0.1", 5)
	agentPort := netip.MustParseAddrPort(at[4]).Port()
	settings := map[string]any{
		"role": "entry", "name": name, "data-centre": "a", "region": "r",
		"listen":   map[string]string{"callers": at[0], "control": at[1], "operators": at[2]},
		"peers":    []string{at[1]},
		"platform": map[string]any{"urls": []string{"http://" + b.storeAt.String()}},
		"managed": map[string]any{
			"enabled": true, "plain-peers": true, "readiness": at[3], "agent-port": agentPort,
			"cores": 1, "share": 0.304, "memory": fmt.Sprintf("%dMiB", memoryMB), "stop-grace": "8s", "apply-time": "2000ms",
			"retry-ratio": 0.2, "retry-spare": 56, "retry-span": "10s",
		},
		"weight-store": map[string]any{"parallel": 2},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(b.dir, name)
	if err := os.WriteFile(file+".new", append(text, '\n'), 0o600); err != nil {
		return nil, err
	}
	if err := os.Rename(file+".new", file+".yaml"); err != nil {
		return nil, err
	}
	return &entry{callers: at[0], readiness: at[3], ended: file + ".ended"}, nil
}

// awaitReady waits until an entry counts as ready.
func (e *entry) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if e.hasEnded() {
			return problem("the entry has ended")
		}
		resp, err := http.Get("http://" + e.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return problem("the entry is not ready")
}

// routeOf returns a route of the manifest.
func routeOf(prefix, kind, service string, timeout time.Duration, attempts int, extra string) string {
	return fmt.Sprintf(`{"name":%q,"host":"app.example","path_prefix":%q,"route_kind":%q,"service":%q,"timeout_ms":%d,"target_latency_ms":3000,"max_attempts":%d,"priority":1%s}`,
		strings.Trim(prefix, "/"), prefix, kind, service, timeout.Milliseconds(), attempts, extra)
}

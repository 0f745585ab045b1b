package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"radishwell/platform/stand"
)

// bed is a small deployment on the loopback: the stand-in of the platform's store, stand-ins of
// workers, and the project's own processes.
type bed struct {
	dir, program string
	store        *stand.Store
	storeAt      netip.AddrPort
	record       *record
	version      int

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

func newBed(program string, r *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, program: program, store: &stand.Store{}, record: r}
	b.onClose(func() { _ = os.RemoveAll(dir) })
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

// freePorts returns free ports of an address.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
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

// entry is an entry process.
type entry struct {
	callers, readiness string
	// ended is closed once the process has ended.
	ended chan struct{}
}

func (e *entry) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// startEntry starts an entry as the deploy file says, with settings as its template renders them.
func (b *bed) startEntry(name string, memoryMB int) (*entry, error) {
	at, err := freePorts("127.0.0.1", 4)
	if err != nil {
		return nil, err
	}
	agent, err := freePorts("127.0.0.1", 1)
	if err != nil {
		return nil, err
	}
	agentPort := netip.MustParseAddrPort(agent[0]).Port()
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
	file := filepath.Join(b.dir, name+".yaml")
	if err := os.WriteFile(file, append(text, '\n'), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(b.program, "entry", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	e := &entry{callers: at[0], readiness: at[3], ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(e.ended)
	}()
	b.onClose(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-e.ended
		_ = log.Close()
		if keep := os.Getenv("KEEP_LOG"); keep != "" {
			if text, err := os.ReadFile(log.Name()); err == nil {
				_ = os.WriteFile(keep, text, 0o600)
			}
		}
	})
	return e, nil
}

// awaitReady waits until an entry counts as ready.
func (e *entry) awaitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the entry is not ready")
}

// routeOf returns a route of the manifest.
func routeOf(prefix, kind, service string, timeout time.Duration, attempts int, extra string) string {
	return fmt.Sprintf(`{"name":%q,"host":"app.example","path_prefix":%q,"route_kind":%q,"service":%q,"timeout_ms":%d,"target_latency_ms":3000,"max_attempts":%d,"priority":1%s}`,
		strings.Trim(prefix, "/"), prefix, kind, service, timeout.Milliseconds(), attempts, extra)
}

package deploy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/config"
	"radishwell/io/deploy"
	"radishwell/platform/stand"
)

// childEntry names the variable with the addresses of an entry. If it is set, the test binary runs as
// the process of that entry.
const childEntry = "RADISHWELL_TEST_ENTRY"

// processAddresses are the addresses of an entry that is a process of its own.
type processAddresses struct {
	Name                                          string
	Store, Callers, Readiness, Operators, Control netip.AddrPort
	AgentPort                                     int
	Peers                                         []netip.AddrPort
}

// TestEntryProcess is the process of addEntryProcess. It runs until it is killed.
func TestEntryProcess(t *testing.T) {
	text := os.Getenv(childEntry)
	if text == "" {
		t.Skip("it is run by other tests")
	}
	var at processAddresses
	assert.NilError(t, json.Unmarshal([]byte(text), &at))
	f := &fleet{storeAt: at.Store, agentPort: at.AgentPort, maxDirect: 64}
	s := f.settings(config.Entry, at.Name)
	s.Listen.Callers, s.Managed.Readiness, s.Listen.Operators = at.Callers, at.Readiness, at.Operators
	s.Listen.Control, s.Peers = at.Control, at.Peers
	assert.NilError(t, (&deploy.Process{Settings: s}).Run(t.Context()))
}

// process is an entry that is a process of its own.
type process struct {
	running
	command *exec.Cmd
}

func (p process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(s))
}

// addEntryProcess is addEntry for an entry that is a process of its own, which can be paused.
func (f *fleet) addEntryProcess(t *testing.T, name string) process {
	t.Helper()
	at := processAddresses{
		Name: name, Store: f.storeAt, Callers: freePort(t, entryHost), Readiness: freePort(t, entryHost), Operators: freePort(t, entryHost),
		Control: freePort(t, entryHost), AgentPort: f.agentPort,
	}
	at.Peers = append([]netip.AddrPort{at.Control}, f.peers...)
	f.peers = append(f.peers, at.Control)
	text, err := json.Marshal(at)
	assert.NilError(t, err)
	p := process{
		running: running{callers: at.Callers, readiness: at.Readiness, operators: at.Operators},
		command: exec.Command(os.Args[0], "-test.run=^TestEntryProcess$"),
	}
	p.command.Env = append(os.Environ(), childEntry+"="+string(text))
	assert.NilError(t, p.command.Start())
	kill := sync.OnceFunc(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	})
	p.stop = kill
	t.Cleanup(kill)
	return p
}

// add is addVersion for an upstream that the versionFleet counts.
func (f *versionFleet) add(t *testing.T, n int, version string) {
	t.Helper()
	w := f.addVersion(t, n, version)
	f.workers[w.ID], f.versions[w.ID] = w, version
}

// begin begins 12 streams at an entry, and more until one has begun at a version.
func (f *versionFleet) begin(t *testing.T, at running, name, version string) {
	t.Helper()
	n, begun := 0, false
	until(t, "a stream begins at "+version, func() bool {
		id := fmt.Sprint(name, "-", n)
		n++
		f.began[id] = leaveAfterFirst(t, at, id)
		begun = begun || f.versions[f.began[id]] == version
		return n >= 12 && begun
	})
}

// takeUpAtOnce has the callers take up all streams at once at an entry that may be paused, and calls wake once all
// requests have been sent.
func (f *versionFleet) takeUpAtOnce(t *testing.T, at running, gone string, wake func()) (n taken) {
	t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	var sent atomic.Int32
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for id, first := range f.began {
		all.Go(func() {
			next := "next-" + id
			ctx, stop := context.WithTimeout(t.Context(), patience)
			defer stop()
			ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent.Add(1) }})
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.callers.String()+"/chat/x", strings.NewReader("{}"))
			if !assert.Check(t, err) {
				return
			}
			req.Host = "a.example"
			for name, value := range map[string]string{
				"X-Radishwell-Request-Id": next, "X-Radishwell-Model": "m-1", "Last-Event-Id": "1", "Resumes": id,
				"X-Radishwell-Prompt-Prefix": "shared-" + id + ":100,own-" + id + ":10",
			} {
				req.Header.Set(name, value)
			}
			resp, err := client.Do(req)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				n.cut++
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				n.cut++
			case resp.StatusCode == http.StatusOK && f.versions[host(resp)] == f.versions[first]:
				assert.Check(t, strings.Count(string(body), "data: event") == 19, "%s", body)
				n.same++
			case resp.StatusCode == http.StatusOK:
				n.other++
			default:
				n.refused++
				if f.versions[first] != gone {
					n.refusedServed++
					t.Logf("%s is refused although its version serves: %s", next, body)
				}
			}
		})
	}
	until(t, "all requests are sent", func() bool { return int(sent.Load()) >= len(f.began) })
	wake()
	all.Wait()
	return n
}

// Guards against streams that go on at another software version at an entry that was paused while a release went on:
// it lists one version only, and its callers' requests are read before it learns of the other.
func TestPausedEntryJoinsNoStreams(t *testing.T) {
	for _, c := range []struct {
		name string
		// gone is set if the first version has left the registry meanwhile; its upstreams still serve.
		gone bool
		// down is set if the store is down from before the entry wakes, and restarted if the other entry
		// then starts again and has to ask the one that was paused.
		down, restarted bool
	}{
		{name: "both versions serve"},
		{name: "the first version has gone", gone: true},
		{name: "the first version has gone and the store is down", gone: true, down: true},
		{name: "the first version has gone, the store is down and the other entry has just started", gone: true, down: true, restarted: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &versionFleet{fleet: newFleet(t), workers: map[string]*stand.Worker{}, began: map[string]string{}, versions: map[string]string{}}
			f.add(t, 1, "v1")
			f.add(t, 3, "v1")
			other, paused := f.addEntry(t, "edge-1"), f.addEntryProcess(t, "edge-2")
			other.waitReady(t)
			paused.waitReady(t)
			f.begin(t, paused.running, "own", "v1")
			clear(f.began)
			f.begin(t, other, "before", "v1")
			paused.signal(t, syscall.SIGSTOP)
			wakes := time.Now().Add(2 * time.Second)
			f.add(t, 2, "v2")
			f.add(t, 4, "v2")
			gone := ""
			if c.gone {
				gone = "v1"
				f.remove(gone)
			}
			f.begin(t, other, "meanwhile", "v2")
			until(t, "the entry has been paused for a while", func() bool { return time.Now().After(wakes) })
			if c.down {
				f.store.SetFault(stand.Down)
			}
			wake := func() { paused.signal(t, syscall.SIGCONT) }
			if c.restarted {
				other.stop()
				wake()
				other = f.addEntry(t, "edge-1")
				other.waitReady(t)
				n := f.takeUpAtOnce(t, other, gone, func() {})
				assert.Equal(t, n.other, 0, "at the entry that has just started: %+v", n)
			}
			n := f.takeUpAtOnce(t, paused.running, gone, wake)
			assert.Assert(t, n.other == 0 && n.same > 0, "%+v", n)
		})
	}
}

package deploy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/fakes/ports"
	"radishwell/platform/stand"
)

const (
	// poison is the body of the request that crashes upstreams.
	poison = "crash"
	// poisonPart begins the IDs of the parts of prompts that crash upstreams.
	poisonPart = "dead"
)

// addCrashing starts an upstream with its agent. It crashes when it runs the poison and is
// started again under a new id.
func (f *fleet) addCrashing(t *testing.T, n int) *stand.Process {
	t.Helper()
	return f.addCrashingAs(t, n, func(*stand.Worker) {})
}

// addCrashingAs is addCrashing, with a function that sets up each worker.
func (f *fleet) addCrashingAs(t *testing.T, n int, setUp func(*stand.Worker)) *stand.Process {
	t.Helper()
	p := &stand.Process{Downtime: 300 * time.Millisecond}
	p.Start = func(start int, at netip.AddrPort) *stand.Worker {
		w := &stand.Worker{ID: fmt.Sprintf("i-%d-%d", n, start), Events: 5, LoadTime: 100 * time.Millisecond, Poison: poison, PoisonPart: poisonPart}
		setUp(w)
		if start == 1 {
			w.SetModels(stand.Held{Name: "m-1"})
		} else {
			f.store.Remove("servers", fmt.Sprintf("i-%d-%d", n, start-1))
		}
		f.store.Put("servers", w.ID, fmt.Sprintf(`{"service":"llm","address":%q,"zone":"dc-1","slots":64,"state":"ready","sequence":0}`, at))
		return w
	}
	assert.NilError(t, p.Listen(ports.Host(n)))
	t.Cleanup(p.Close)
	f.addAgent(t, n, p.Address())
	return p
}

// Guards against a request that crashes one upstream after another, since each repetition
// of it was sent out as a new request.
func TestCrashingRequestIsRefused(t *testing.T) {
	f := newFleet(t)
	upstreams := []*stand.Process{f.addCrashing(t, 1), f.addCrashing(t, 2)}
	entries := []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
	for _, e := range entries {
		e.waitReady(t)
	}
	crashes := func() int { return upstreams[0].Crashes() + upstreams[1].Crashes() }
	sent := 0
	send := func(e running) int {
		sent++
		status, _ := sendBody(t, e, fmt.Sprint("poison-", sent), "m-1", poison)
		return status
	}
	for _, e := range entries {
		until(t, "the request is refused", func() bool { return send(e) == http.StatusUnprocessableEntity })
	}
	// A second attempt at the request may be under way when the third crash becomes known.
	before := crashes()
	assert.Assert(t, before <= 4, "%d upstreams crashed", before)
	for i := range 10 {
		assert.Equal(t, send(entries[i%2]), http.StatusUnprocessableEntity)
	}
	assert.Equal(t, crashes(), before)
	t.Run("other requests are served", func(t *testing.T) {
		for i, e := range entries {
			until(t, "a request is served", func() bool {
				status, _ := sendChat(t, e, fmt.Sprint("other-", i, "-", time.Now().UnixNano()), "m-1")
				return status == http.StatusOK
			})
		}
	})
	t.Run("a restarted entry learns of it", func(t *testing.T) {
		e := f.addEntry(t, "edge-3")
		e.waitReady(t)
		until(t, "the request is refused", func() bool { return send(e) == http.StatusUnprocessableEntity })
		assert.Equal(t, crashes(), before)
	})
}

// Guards against a request that crashes upstreams again after all entries were killed, since
// only they knew of it.
func TestQuarantineOutlivesEntries(t *testing.T) {
	f := newFleet(t)
	upstream := f.addCrashing(t, 1)
	empty := f.store.Copy()
	first := f.addEntry(t, "edge-1")
	first.waitReady(t)
	n := 0
	send := func(e running) int {
		n++
		status, _ := sendBody(t, e, fmt.Sprint("poison-", n), "m-1", poison)
		return status
	}
	until(t, "the request is refused", func() bool { return send(first) == http.StatusUnprocessableEntity })
	until(t, "the store has the record", func() bool { return f.store.Len("radishwell-quarantine") == 1 })
	before := upstream.Crashes()
	t.Run("a restored store gets the record again", func(t *testing.T) {
		f.store.Restore(empty)
		until(t, "the store has the record", func() bool { return f.store.Len("radishwell-quarantine") == 1 })
	})
	first.stop()
	f.peers = nil
	second := f.addEntry(t, "edge-1")
	second.waitReady(t)
	for range 5 {
		assert.Equal(t, send(second), http.StatusUnprocessableEntity)
	}
	assert.Equal(t, upstream.Crashes(), before)
}

// partCallers sends requests with parts in their prompts to several entries.
type partCallers struct {
	entries []running
	mu      sync.Mutex
	sent    int
	ends    []partResult
}

// partResult is when a request with sound parts was sent, and whether it was served.
type partResult struct {
	at     time.Time
	served bool
}

// send sends a request whose prompt has the given parts and one of its own.
func (c *partCallers) send(parts ...string) (status int) {
	c.mu.Lock()
	c.sent++
	n := c.sent
	c.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entries[n%len(c.entries)].callers.String()+"/chat/x", strings.NewReader(fmt.Sprint("body ", n)))
	if err != nil {
		return 0
	}
	req.Host = "a.example"
	req.Header.Set("X-Radishwell-Request-Id", fmt.Sprint("q-", n))
	req.Header.Set("X-Radishwell-Model", "m-1")
	req.Header.Set("X-Radishwell-Token-Usage", "300,50")
	prefix := ""
	for _, p := range parts {
		prefix += p + ":100,"
	}
	req.Header.Set("X-Radishwell-Prompt-Prefix", fmt.Sprintf("%sffff%x:100", prefix, n))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// repeat calls send with a pause until ctx ends.
func repeat(ctx context.Context, pause time.Duration, send func(n int)) {
	for n := 0; ctx.Err() == nil; n++ {
		send(n)
		time.Sleep(pause)
	}
}

// repeatBeside calls send with a pause, whether the last call has returned or not, until ctx ends.
// It returns once all have.
func (c *partCallers) repeatBeside(ctx context.Context, pause time.Duration, send func(n int)) {
	var sent sync.WaitGroup
	repeat(ctx, pause, func(n int) { sent.Go(func() { send(n) }) })
	sent.Wait()
}

// minSoundShare is the share of the requests without a crashing part that have to be served once
// the part is known.
const minSoundShare = 0.5

// sound sends a request without a crashing part and keeps its result.
func (c *partCallers) sound(n int) {
	at := time.Now()
	served := c.send("aa", fmt.Sprint("bb", n%5)) == http.StatusOK
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, partResult{at: at, served: served})
}

// share returns the share of the sound requests sent in a span of time that were served.
func (c *partCallers) share(from, to time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, served := 0, 0
	for _, r := range c.ends {
		if r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// arrivals returns when requests with a part in their prompts arrived at upstreams and when they
// crashed them, in order of time.
func arrivals(upstreams []*stand.Process, part string) (arrived, crashed []time.Time) {
	for _, u := range upstreams {
		for _, w := range u.Workers() {
			for _, r := range w.Requests() {
				if stand.PoisonedPart(r.Header, part) == "" {
					continue
				}
				arrived = append(arrived, r.At)
				if !r.CrashedAt.IsZero() {
					crashed = append(crashed, r.CrashedAt)
				}
			}
		}
	}
	slices.SortFunc(arrived, time.Time.Compare)
	slices.SortFunc(crashed, time.Time.Compare)
	return arrived, crashed
}

// contact is the time within which all entries have to know of a crash, and maxLate the number of
// requests with a part that may begin later than that after its fifth crash.
const (
	contact = 3 * time.Second
	maxLate = 3
)

// checkLate checks that few requests with a part begin at upstreams later than contact after its
// fifth crash, and returns when that was, or the last crash if there were fewer.
func checkLate(t *testing.T, upstreams []*stand.Process, part string) (fifth time.Time) {
	t.Helper()
	arrived, crashed := arrivals(upstreams, part)
	if len(crashed) == 0 {
		t.Errorf("the part %s crashed no upstream", part)
		return time.Time{}
	}
	fifth = crashed[min(4, len(crashed)-1)]
	late := 0
	for _, at := range arrived {
		late += core.CountIf(len(crashed) >= 5 && at.After(fifth.Add(contact)))
	}
	assert.Check(t, late <= maxLate, "requests with the part %s began at upstreams %d times later than %v after the fifth crash; it crashed %d", part, late, contact, len(crashed))
	return fifth
}

// newPartFleet starts a fleet of two entries and some upstreams that crash, set up by a function, and returns the
// upstreams and callers that have been served.
func newPartFleet(t *testing.T, size int, setUp func(*stand.Worker)) ([]*stand.Process, *partCallers) {
	t.Helper()
	f := newFleet(t)
	var upstreams []*stand.Process
	for n := range size {
		upstreams = append(upstreams, f.addCrashingAs(t, n+1, setUp))
	}
	c := &partCallers{entries: []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}}
	for _, e := range c.entries {
		e.waitReady(t)
	}
	until(t, "sound requests are served", func() bool { return c.send("aa", "bb0") == http.StatusOK })
	return upstreams, c
}

// Guards against a part of prompts that crashes one upstream after another, in requests that have
// nothing else in common, and against refusing the requests that share their other parts.
func TestPartThatCrashesUpstreamsIsRefused(t *testing.T) {
	upstreams, c := newPartFleet(t, 4, func(*stand.Worker) {})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	callers.Go(func() { repeat(ctx, 20*time.Millisecond, c.sound) })
	callers.Go(func() { repeat(ctx, 20*time.Millisecond, c.sound) })
	began := time.Now()
	time.Sleep(2 * time.Second)
	// The part may be the first or in the middle, and there may be two such parts.
	crashing := map[string][]string{poisonPart + "01": {poisonPart + "01", "bb1"}, poisonPart + "02": {"aa", poisonPart + "02"}}
	injected := time.Now()
	for _, parts := range crashing {
		callers.Go(func() { repeat(ctx, 50*time.Millisecond, func(int) { c.send(parts...) }) })
	}
	time.Sleep(4*contact + time.Second)
	stop()
	callers.Wait()
	end := time.Now()
	last := injected
	for part := range crashing {
		if fifth := checkLate(t, upstreams, part); fifth.After(last) {
			last = fifth
		}
	}
	before, after := c.share(began, injected), c.share(last.Add(2*contact), end)
	assert.Check(t, after >= before/2, "sound requests were served at %.2f, before at %.2f", after, before)
}

// Guards against a part of prompts that is taken for sound since streams on it go on for a time
// before their upstreams crash.
func TestPartThatCrashesUpstreamsAfterEventsIsRefused(t *testing.T) {
	for _, row := range []struct {
		name string
		// queue is the time until a request begins, gap the pause between its events, and after the
		// time from its first event to the crash.
		queue, gap, after time.Duration
	}{
		{"at once", 0, 20 * time.Millisecond, 0},
		{"after 0.3 s", 0, 20 * time.Millisecond, 300 * time.Millisecond},
		{"after 0.8 s", 0, 20 * time.Millisecond, 800 * time.Millisecond},
		{"after 1.5 s", 0, 20 * time.Millisecond, 1500 * time.Millisecond},
		{"after two events 0.7 s apart", 0, 700 * time.Millisecond, 710 * time.Millisecond},
		{"after a queue of 2 s", 2 * time.Second, 20 * time.Millisecond, 0},
		{"after a queue of 5 s and 0.8 s of events", 5 * time.Second, 20 * time.Millisecond, 800 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			upstreams, c := newPartFleet(t, 6, func(w *stand.Worker) { w.Queue, w.Gap, w.CrashAfter = row.queue, row.gap, row.after })
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var callers sync.WaitGroup
			callers.Go(func() { c.repeatBeside(ctx, 100*time.Millisecond, c.sound) })
			time.Sleep(2*time.Second + row.queue)
			callers.Go(func() { c.repeatBeside(ctx, 400*time.Millisecond, func(int) { c.send("aa", poisonPart) }) })
			until(t, "five upstreams crashed", func() bool { _, crashed := arrivals(upstreams, poisonPart); return len(crashed) >= 5 })
			time.Sleep(contact + 5*time.Second + row.queue)
			end := time.Now()
			time.Sleep(row.queue + row.after + time.Second) // the last requests end
			stop()
			callers.Wait()
			fifth := checkLate(t, upstreams, poisonPart)
			share := c.share(fifth.Add(contact), end)
			assert.Check(t, share >= minSoundShare, "sound requests were served at %.2f", share)
		})
	}
}

// Guards against requests and parts that crash upstreams without end, since all entries are killed before they
// have enough crashes.
func TestCrashesOutliveEntries(t *testing.T) {
	check := func(maxCrashes int, send func(t *testing.T, e running) int) func(t *testing.T) {
		return func(t *testing.T) {
			f := newFleet(t)
			upstream := f.addCrashing(t, 1)
			for range 9 {
				entry := f.addEntry(t, "edge-1")
				entry.waitReady(t)
				until(t, "the upstream crashes, or the request is refused for good", func() bool {
					before := upstream.Crashes()
					return send(t, entry) == http.StatusUnprocessableEntity || upstream.Crashes() > before
				})
				time.Sleep(300 * time.Millisecond) // the record of the crash is written
				entry.stop()
				f.peers = nil
			}
			assert.Assert(t, upstream.Crashes() <= maxCrashes, "%d crashes", upstream.Crashes())
		}
	}
	n := 0
	t.Run("request", check(3+3, func(t *testing.T, e running) int {
		n++
		status, _ := sendBody(t, e, fmt.Sprint("poison-", n), "m-1", poison)
		return status
	}))
	c := &partCallers{}
	t.Run("part", check(5+3, func(_ *testing.T, e running) int {
		c.entries = []running{e}
		return c.send("aa", poisonPart)
	}))
}

// Guards against a part of prompts that crashes upstreams again after all entries were killed,
// since only they knew of it.
func TestRefusedPartOutlivesEntries(t *testing.T) {
	for _, after := range []time.Duration{0, 800 * time.Millisecond} {
		t.Run(fmt.Sprint("crash after ", after), func(t *testing.T) {
			f := newFleet(t)
			upstream := f.addCrashingAs(t, 1, func(w *stand.Worker) { w.Gap, w.CrashAfter = 20*time.Millisecond, after })
			entry := f.addEntry(t, "edge-1")
			entry.waitReady(t)
			c := &partCallers{entries: []running{entry}}
			until(t, "the request is refused for good", func() bool { return c.send("aa", poisonPart) == http.StatusUnprocessableEntity })
			// Which of two parts that were in all crashes is to blame is not known without other requests.
			until(t, "the store has the records", func() bool { return f.store.Len("radishwell-quarantine") == 2 })
			before := upstream.Crashes()
			for range 3 {
				entry.stop()
				f.peers = nil
				entry = f.addEntry(t, "edge-1")
				entry.waitReady(t)
				c.entries = []running{entry}
				for range 5 {
					status := c.send("aa", poisonPart)
					assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusUnprocessableEntity, "status %d", status)
				}
			}
			assert.Equal(t, upstream.Crashes(), before)
			t.Run("other requests are served, and the records of sound parts are removed", func(t *testing.T) {
				until(t, "a request is served", func() bool { return c.send("aa") == http.StatusOK })
				until(t, "the store has one record", func() bool { return f.store.Len("radishwell-quarantine") == 1 })
				_, text := get(t, entry.operators, "/metrics")
				assert.Assert(t, strings.Contains(text, "\nradishwell_refused_parts 1\n"), text)
			})
		})
	}
}

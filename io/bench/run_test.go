package bench

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/config"
	"radishwell/io/fakes/plain"
	"radishwell/io/front"
)

// testEntry stands in for an entry in front of a plain service and can inject
// faults.
type testEntry struct {
	service *plain.Server
	// spoil may answer in place of the entry; it reports whether it did.
	spoil func(w http.ResponseWriter, body string, forward func()) bool
	mu    sync.Mutex
	// kept holds the answers by idempotency key.
	kept map[string][]byte
}

func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	forward := func() {
		rec := httptest.NewRecorder()
		e.service.Handler().ServeHTTP(rec, httptest.NewRequest(r.Method, "/x", bytes.NewReader(raw)))
		e.kept[r.Header.Get(front.HeaderKey)] = rec.Body.Bytes()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(front.HeaderRequestID, "id")
	if e.spoil != nil && e.spoil(w, string(raw), forward) {
		return
	}
	key := r.Header.Get(front.HeaderKey)
	if e.kept[key] == nil || key == "" {
		forward()
	}
	w.Header().Set(front.HeaderOutcome, core.Done.String())
	_, _ = w.Write(e.kept[key])
}

func originOf(t *testing.T, url string) config.Origin {
	t.Helper()
	var o config.Origin
	assert.NilError(t, o.UnmarshalText([]byte(url)))
	return o
}

// runAgainst runs a short load of postings against two entries in front of the same
// service.
func runAgainst(t *testing.T, spoil func(http.ResponseWriter, string, func()) bool) *Report {
	t.Helper()
	e := &testEntry{service: &plain.Server{}, spoil: spoil, kept: map[string][]byte{}}
	one, two := httptest.NewServer(e), httptest.NewServer(e)
	service := httptest.NewServer(e.service.Handler())
	t.Cleanup(one.Close)
	t.Cleanup(two.Close)
	t.Cleanup(service.Close)
	plan := mustParse(t, `
name: postings
phases: [{name: all, for: 100ms, shape: bursts, burst: 20, period: 100ms}]
calls: [{name: posting, service: ledger, keyed: 0.8, repeat: 0.5, repeat-after: 20ms, deadline: 5s}]
`)
	plan.Services = []config.Origin{originOf(t, service.URL)}
	b := &Bench{Plan: plan, Entries: []Entry{{At: originOf(t, one.URL)}, {At: originOf(t, two.URL)}}}
	r, err := b.Run(t.Context())
	assert.NilError(t, err)
	return &r
}

func assertFaults(t *testing.T, r *Report, want ...string) {
	t.Helper()
	got := r.Faults()
	assert.Equal(t, len(got), len(want), "%v", got)
	for i, w := range want {
		assert.Assert(t, strings.Contains(got[i], w), got[i])
	}
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(front.HeaderOutcome, core.NotRun.String())
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, `{"error":{"code":"no-host"}}`)
}

func TestRun(t *testing.T) {
	t.Run("all done", func(t *testing.T) {
		r := runAgainst(t, nil)
		assertFaults(t, r)
		assert.Assert(t, r.AllDone() && r.Audit.Services)
		assert.Equal(t, r.Audit.Calls, 20)
		assert.Equal(t, r.Audit.Ran, 20)
		assert.Assert(t, r.Sent > 20, "no repetitions")
		assertPages(t, r)
	})
	t.Run("honestly refused", func(t *testing.T) {
		r := runAgainst(t, func(w http.ResponseWriter, _ string, _ func()) bool { refuse(w); return true })
		assertFaults(t, r)
		assert.Equal(t, r.Codes["no-host"], r.Sent)
	})
	t.Run("ran though refused", func(t *testing.T) {
		r := runAgainst(t, func(w http.ResponseWriter, _ string, forward func()) bool { forward(); refuse(w); return true })
		assert.Assert(t, r.Audit.RanThoughRefused > 0)
	})
	t.Run("ran twice", func(t *testing.T) {
		r := runAgainst(t, func(_ http.ResponseWriter, _ string, forward func()) bool { forward(); return false })
		assert.Assert(t, r.Audit.RanTwice > 0)
	})
	t.Run("cut", func(t *testing.T) {
		r := runAgainst(t, func(http.ResponseWriter, string, func()) bool { panic(http.ErrAbortHandler) })
		assertFaults(t, r, "left without an outcome")
		assert.Equal(t, r.Fates[cut.String()], r.Sent)
	})
}

// assertPages checks that a report is read back as written, that its page refers to
// nothing on the network, and that two reports can be compared.
func assertPages(t *testing.T, r *Report) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "report.json")
	assert.NilError(t, r.Write(file))
	again, err := Read(file)
	assert.NilError(t, err)
	assert.Equal(t, string(mustJSON(again)), string(mustJSON(r)))
	var html, text bytes.Buffer
	assert.NilError(t, r.WriteHTML(&html))
	assert.Equal(t, strings.Count(html.String(), "<svg"), 3)
	for _, remote := range []string{"<script", "<link", "src=", "@import"} {
		assert.Assert(t, !strings.Contains(html.String(), remote), remote)
	}
	assert.NilError(t, r.Print(&text))
	assert.NilError(t, Compare(&text, r, again))
}

// TestKills checks to which kill a broken connection is attributed. If an entry is
// killed while it has requests in flight, their connections break. Such a break is
// attributed to the kill, but one of a connection to another entry, or one before or
// long after the kill, isn't.
func TestKills(t *testing.T) {
	call := &Call{Name: "c"}
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	tally := newTally(testStart, time.Second)
	for _, one := range []struct{ entry, sent, end int }{{0, 1, 5}, {1, 1, 5}, {0, 1, 9}, {0, 1, 4}} {
		s := &request{call: call, at: at(one.sent), due: at(60)}
		tally.add(result{request: s, fate: cut, entry: one.entry, sent: at(one.sent), end: at(one.end)})
	}
	tally.attributeKills([]Kill{{At: at(5), Entry: "a"}}, func(i int) string { return []string{"a", "b"}[i] })
	assert.Equal(t, tally.fates[killed], 1)
	assert.Equal(t, tally.fates[cut], 3)
	assert.Equal(t, tally.lines[lineKey{call: "c"}].fates[killed], 1)
}

// TestUnreached checks requests that reach no entry. As long as no entry accepts
// connections, nothing is sent. The request is reported as unreached at its deadline.
func TestUnreached(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	s := &sender{bal: newBalancer([]Entry{{At: originOf(t, gone.URL)}}, nil), grace: time.Second}
	now := time.Now()
	r := s.send(t.Context(), &request{at: now, due: now.Add(20 * time.Millisecond), call: &Call{Service: "x", Method: "POST", Path: "/"}, body: []byte("b")})
	assert.Equal(t, r.fate, unreached, r.note)
}

func TestLoads(t *testing.T) {
	l := &enginePoller{}
	item := core.EngineItem{Name: "m", State: core.Loaded, Accelerators: []int{0}, Bytes: 2 * core.GiB}
	l.update(testStart, []core.EngineState{{Items: []core.EngineItem{item}}})
	l.update(testStart.Add(time.Second), []core.EngineState{{Items: []core.EngineItem{item}}})
	l.update(testStart.Add(3*time.Second), []core.EngineState{{Items: []core.EngineItem{item}, Runs: []core.EngineRun{{Model: "m"}}}})
	got := l.total()
	assert.Equal(t, got.LoadedSeconds, 3.0)
	assert.Equal(t, got.IdleSeconds, 1.0)
	assert.Equal(t, got.IdleGiBSeconds, 2.0)
	cold, known := l.cold("m")
	assert.Assert(t, known && !cold)
	cold, _ = l.cold("n")
	assert.Assert(t, cold)
}

func TestFaultsAreSwitched(t *testing.T) {
	srv := httptest.NewServer((&plain.Server{}).Handler())
	defer srv.Close()
	out := switchFaults(context.Background(), []Fault{{To: originOf(t, srv.URL), Set: `{"delay":7}`}}, time.Now())
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Problem, "")
	var f plain.Faults
	assert.NilError(t, getJSON(t.Context(), srv.URL+"/faults", &f))
	assert.Equal(t, f.Delay, 7)
}

package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/parts"
	"radishwell/core/strike"
	"radishwell/platform/stand"
)

// fakeTrials grants trials or not, as the entry that all others ask.
type fakeTrials struct {
	mu            sync.Mutex
	refuses       bool
	asked         int
	begun, closed []string
	// onBegin, if set, is called before a trial is granted.
	onBegin func(upstream core.HostName)
}

func (f *fakeTrials) Begin(_ context.Context, keys []string, upstream core.HostName, _ time.Time) bool {
	if f.onBegin != nil {
		f.onBegin(upstream)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if !f.refuses {
		f.begun = append(f.begun, fmt.Sprint(keys, upstream))
	}
	return !f.refuses
}

func (f *fakeTrials) End(keys []string, upstream core.HostName, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = append(f.closed, fmt.Sprint(keys, upstream))
}

func (f *fakeTrials) set(refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = refuses
}

// strikeTimes gives a request the strikes of some crashes of others.
func (r *rig) strikeTimes(f core.Fingerprint, crashes int) { r.strike(f, 0, make([]bool, crashes)...) }

// Guards against a suspect that is refused for good, or sent without a trial, while it has none.
func TestSuspectRunsInTrialsOnly(t *testing.T) {
	f := core.FingerprintOf(nil, []byte(http.MethodPost), []byte("a.example"), []byte("/once/x"), []byte("proper"))
	newSuspect := func(t *testing.T, crashes int) (*rig, *fakeTrials, *stand.Worker) {
		t.Helper()
		r, trials := newRig(t), &fakeTrials{refuses: true}
		r.Trials = trials
		w := plain(t, r, "p-1")[0]
		r.strikeTimes(f, crashes)
		return r, trials, w
	}
	t.Run("no trial", func(t *testing.T) {
		r, trials, w := newSuspect(t, 3)
		a := do(t, r.post(t, "/once/x", "q-1", "proper"))
		wantStatus(t, a, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Assert(t, trials.asked > 1, "it asks again while it waits")
		assert.Equal(t, w.Ran("q-1"), 0)
	})
	t.Run("a trial after a while", func(t *testing.T) {
		r, trials, _ := newSuspect(t, 3)
		time.AfterFunc(200*time.Millisecond, func() { trials.set(false) })
		wantStatus(t, do(t, r.post(t, "/once/x", "q-1", "proper")), http.StatusOK)
		assert.Equal(t, len(trials.begun), 1)
		assert.Assert(t, slices.Equal(trials.begun, trials.closed), "%v, %v", trials.begun, trials.closed)
	})
	t.Run("served requests are no suspects", func(t *testing.T) {
		r, trials, _ := newSuspect(t, 3)
		trials.set(false)
		wantStatus(t, do(t, r.post(t, "/once/x", "q-1", "proper")), http.StatusOK)
		trials.set(true)
		wantStatus(t, do(t, r.post(t, "/once/x", "q-2", "proper")), http.StatusOK)
		assert.Equal(t, trials.asked, 1)
	})
	t.Run("fewer crashes need none", func(t *testing.T) {
		r, trials, _ := newSuspect(t, 2)
		wantStatus(t, do(t, r.post(t, "/once/x", "q-1", "proper")), http.StatusOK)
		assert.Equal(t, trials.asked, 1, "it asks once")
	})
}

// Guards against a request that is sent to a host that began to leave while the request waited for
// its trial there.
func TestHostLeavesBeforeTrial(t *testing.T) {
	r, trials := newRig(t), &fakeTrials{}
	workers := plain(t, r, "p-1", "p-2")
	left := core.HostName("")
	trials.onBegin = func(upstream core.HostName) {
		if left == "" {
			left = upstream
			r.Update(func(v *fleet.View, now time.Time) { v.NoteLeaving(fleet.Incarnation{ID: upstream}, now) })
		}
	}
	r.Trials = trials
	r.strikeTimes(core.FingerprintOf(nil, []byte(http.MethodPost), []byte("a.example"), []byte("/once/x"), []byte("proper")), 3)
	wantStatus(t, do(t, r.post(t, "/once/x", "q-1", "proper")), http.StatusOK)
	for _, w := range workers {
		assert.Assert(t, core.HostName(w.ID) != left || w.Ran("q-1") == 0, "%s had begun to leave", left)
	}
	assert.Equal(t, len(trials.begun), 2)
	assert.DeepEqual(t, trials.begun, trials.closed)
}

// Guards against a request that crashes upstreams in trial after trial, since the entries that it
// comes to have not yet heard of the last ones.
func TestTrialsPauseForAllEntries(t *testing.T) {
	const tried, other = core.Fingerprint(1), core.Fingerprint(2)
	r := newRig(t)
	book := strike.Book{Self: "edge-2", MaxRecords: 10, Incarnations: true}
	for _, upstream := range []core.HostName{"x-1", "x-2", "x-3"} {
		assert.Assert(t, r.GrantTrial([]string{tried.String()}, upstream, time.Now().Add(time.Minute)))
		r.CloseTrial([]string{tried.String()}, upstream, true)
		book.RecordIncarnationCrash(time.Now(), upstream, []strike.Attempt{{Fingerprint: tried, Alone: upstream != "x-1"}})
		r.MergeStrikes(book.Records(time.Now()))
	}
	assert.Assert(t, !r.GrantTrial([]string{tried.String()}, "x-4", time.Now().Add(time.Minute)))
	assert.Assert(t, r.GrantTrial([]string{other.String(), "llm/part"}, "x-4", time.Now().Add(time.Minute)))
}

// Guards against a request that crashes upstreams in one trial more for each entry that grants trials and ends before it
// knows what came of them.
func TestNextEntryKnowsOfGrantedTrials(t *testing.T) {
	f := core.Fingerprint(1)
	first, next := newRig(t), newRig(t)
	told := 0
	first.OnStrikes = func() { told++ }
	first.strikeTimes(f, 3)
	next.strikeTimes(f, 3)
	grant := func(r *rig, upstream core.HostName) bool {
		return r.GrantTrial([]string{f.String()}, upstream, time.Now().Add(time.Minute))
	}
	assert.Assert(t, grant(first, "j-1"))
	first.CloseTrial([]string{f.String()}, "j-1", false) // it did not run
	for _, upstream := range []core.HostName{"j-2", "j-3"} {
		assert.Assert(t, grant(first, upstream))
		first.CloseTrial([]string{f.String()}, upstream, true)
	}
	assert.Assert(t, !grant(first, "j-4"))
	assert.Equal(t, told, 3)
	next.MergeStrikes(first.Strikes())
	assert.Assert(t, !grant(next, "j-4"))
}

// Guards against a sound part whose few tries go to requests that crash upstreams themselves.
func TestSuspectRequestsLeaveTriesOfPartsToOthers(t *testing.T) {
	const suspect, other = core.Fingerprint(1), core.Fingerprint(2)
	r := newRig(t)
	now := time.Now()
	book := strike.Book{Self: "edge-2", MaxRecords: 10, Incarnations: true}
	record := parts.Record{Part: "llm/part"}
	for n := range 5 {
		upstream := core.HostName(fmt.Sprint("x-", n))
		at := now.Add(time.Duration(n-5) * time.Second)
		record.Crashes = append(record.Crashes, parts.Crash{Upstream: upstream, At: at, Requests: 1})
		book.RecordIncarnationCrash(at, upstream, []strike.Attempt{{Fingerprint: suspect}})
	}
	r.MergeStrikes(book.Records(now))
	r.MergeParts([]parts.Record{record})
	grants := func(f core.Fingerprint, upstream core.HostName) bool {
		return r.GrantTrial([]string{f.String(), "llm/part"}, upstream, now.Add(time.Minute))
	}
	assert.Assert(t, !grants(suspect, "y-1"))
	assert.Assert(t, grants(other, "y-2"))
}

// Guards against a sound part that stays refused, since the callers of its few trials leave before the answer has ended.
func TestTrialOfPartOutlastsItsCaller(t *testing.T) {
	for _, row := range []struct {
		name   string
		queue  time.Duration
		tried  bool
		served bool
	}{
		{"after the first event", 0, true, true},
		{"before the first event", 600 * time.Millisecond, true, true},
		{"with an answer that begins too late", 1200 * time.Millisecond, true, false},
		{"without a trial", 0, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRig(t)
			r.Trials = &fakeTrials{}
			w := &stand.Worker{ID: "i-1", Events: 8, Queue: row.queue, Gap: 100 * time.Millisecond}
			r.add(t, "llm", w)
			if row.tried {
				r.mergeCrashes("llm/bad", 5)
			}
			ctx, leave := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer leave()
			req := r.askStream(t, "/stream/x", "q-1")
			req.Header.Set("X-Radishwell-Prompt-Prefix", "bad:100,own:100")
			req.Header.Set("X-Radishwell-Deadline-Ms", "1000")
			assert.Assert(t, do(t, req.WithContext(ctx)).cut)
			time.Sleep(1900 * time.Millisecond)
			r.mergeCrashes("llm/bad", 5) // the part has a record, which answers are in
			records := r.Parts()
			assert.Equal(t, len(records), 1)
			assert.Equal(t, len(records[0].Answers) > 0, row.served, "%+v", records[0].Answers)
			for _, a := range records[0].Answers {
				assert.Equal(t, a.Tried, row.tried)
			}
		})
	}
}

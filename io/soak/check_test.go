package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

func stream(n int) []byte {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return []byte(b.String())
}

// TestCheck checks that each promise is violated by results that break it and by no
// others.
func TestCheck(t *testing.T) {
	good := Result{ID: "q", Customer: "free", Route: Once, Status: 200, Signer: "signed-by-i-1", Body: []byte("answer of i-1"), Complete: true}
	with := func(change func(r *Result)) Result {
		r := good
		change(&r)
		return r
	}
	streamed := with(func(r *Result) { r.Route, r.Body = Stream, stream(streamEvents) })
	for _, row := range []struct {
		name   string
		result Result
		ran    int
		broken string
	}{
		{"a good answer", good, 1, ""},
		{"run twice", good, 2, "runs once"},
		{"a lookup may run twice", with(func(r *Result) { r.Route = Again }), 2, ""},
		{"but not three times", with(func(r *Result) { r.Route = Again }), 3, "two upstreams"},
		{"a refusal that had run", Result{Customer: "free", Route: Once, Status: 503}, 1, "refused request did not run"},
		{"a refusal that had not", Result{Customer: "free", Route: Once, Status: 503}, 0, ""},
		{"a failure may have run", Result{Customer: "free", Route: Once, Status: 502}, 1, ""},
		{"a success from nowhere", good, 0, "was run"},
		{"no signature", with(func(r *Result) { r.Signer = "" }), 1, "signed"},
		{"half an answer that looks whole", with(func(r *Result) { r.Body = []byte("answer") }), 1, "whole"},
		{"half an answer that broke off", with(func(r *Result) { r.Body, r.Complete = []byte("answer"), false }), 1, ""},
		{"a whole stream", streamed, 1, ""},
		{"a stream that ends early", with(func(r *Result) { r.Route, r.Body = Stream, stream(streamEvents-1) }), 1, "events"},
		{"a stream that broke off", with(func(r *Result) { r.Route, r.Body, r.Complete = Stream, stream(3), false }), 1, ""},
		{"an event twice", with(func(r *Result) { r.Route, r.Body = Resumed, append(stream(3), stream(streamEvents)...) }), 2, "events"},
		{"an event left out", with(func(r *Result) {
			r.Route, r.Complete = Resumed, false
			r.Body = append(stream(3), []byte("id: 5\ndata: event 5\n\n")...)
		}), 2, "events"},
		{"half an event in the middle", with(func(r *Result) {
			r.Route, r.Complete = Resumed, false
			r.Body = append(stream(3), []byte("id: 4\ndata: haid: 4\ndata: event 4\n\n")...)
		}), 2, "events"},
		{"a stream without framing that ends early", with(func(r *Result) {
			r.Route, r.Body, r.Complete, r.Unframed = Stream, stream(3), false, true
		}), 1, ""},
		{"a stream without framing that ends inside an event", with(func(r *Result) {
			r.Route, r.Body, r.Complete, r.Unframed = Stream, append(stream(3), "id: 4\n"...), false, true
		}), 1, "part of an event"},
		{"an answer without framing that ends early", with(func(r *Result) { r.Body, r.Complete, r.Unframed = []byte("answ"), false, true }), 1, ""},
		{"an answer without framing of another upstream", with(func(r *Result) {
			r.Body, r.Complete, r.Unframed = []byte("answer of i-2"), false, true
		}), 1, "nothing of its own"},
		{"unknown", Result{Customer: "free", Route: Once, Status: 404}, 0, "called unknown"},
		{"a key in no table that ran", with(func(r *Result) { r.Customer = "" }), 1, "key in no table"},
		{"a good key that is refused", Result{Customer: "free", Route: Once, Status: 401}, 0, "key in no table"},
	} {
		t.Run(row.name, func(t *testing.T) {
			var names []string
			for _, b := range check([]Result{row.result}, func(string) int { return row.ran }) {
				names = append(names, b.Promise)
				assert.Assert(t, b.String() != "")
			}
			if row.broken == "" {
				assert.Equal(t, len(names), 0, "%v", names)
				return
			}
			assert.Equal(t, len(names), 1, "%v", names)
			assert.Assert(t, strings.Contains(names[0], row.broken), "%v", names)
		})
	}
}

func TestCutByStop(t *testing.T) {
	cut := Result{ID: "q", Began: 10 * time.Second, Ended: 11 * time.Second}
	ran := func(string) int { return 1 }
	stop := Step{Kind: StopEntry, Begin: 10500 * time.Millisecond, End: 10500 * time.Millisecond}
	assert.Equal(t, len(cutByStop([]Result{cut}, []Step{stop}, ran)), 1)
	kill := Step{Kind: KillEntry, Begin: 9 * time.Second, End: 9 * time.Second}
	assert.Equal(t, len(cutByStop([]Result{cut}, []Step{kill, stop}, ran)), 0, "something else went wrong")
	assert.Equal(t, len(cutByStop([]Result{cut}, []Step{stop}, func(string) int { return 0 })), 0, "it was not passed on")
	answered := cut
	answered.Status = 502
	assert.Equal(t, len(cutByStop([]Result{answered}, []Step{stop}, ran)), 0)
}

func TestDraw(t *testing.T) {
	const length = 10 * time.Second
	withLosses := func(seed uint64) []Step { return addLosses(Draw(seed, length), seed, length) }
	seen := map[Kind]bool{}
	check := func(steps, again []Step) {
		t.Helper()
		assert.DeepEqual(t, steps, again)
		for _, s := range steps {
			seen[s.Kind] = true
			assert.Assert(t, s.Begin >= startupTime && s.Begin <= s.End && s.End <= length, "%v", s)
			assert.Assert(t, s.String() != "" && s.Kind.String() != "unknown")
		}
	}
	for seed := range uint64(200) {
		check(Draw(seed, length), Draw(seed, length))
	}
	assert.Assert(t, !seen[KillEntries] && !seen[ForeignEntry])
	assert.Equal(t, len(seen), int(kindCount)-2)
	for seed := range uint64(200) {
		check(withLosses(seed), withLosses(seed))
	}
	assert.Equal(t, len(seen), int(kindCount)-1)
	for seed := range uint64(200) {
		check(addForeign(withLosses(seed), seed, length), addForeign(withLosses(seed), seed, length))
	}
	assert.Equal(t, len(seen), int(kindCount))
}

func TestMisattributed(t *testing.T) {
	results := []Result{{ID: "q", Customer: "free"}, {ID: "n"}}
	seen := func(id, customer, key string) stand.ReceivedRequest {
		h := http.Header{"X-Radishwell-Request-Id": {id}}
		if customer != "" {
			h.Set("X-Radishwell-Tenant", customer)
		}
		if key != "" {
			h.Set("Authorization", key)
		}
		return stand.ReceivedRequest{Header: h}
	}
	for name, c := range map[string]struct {
		seen   stand.ReceivedRequest
		broken int
	}{
		"in its customer's name":                  {seen("q", "free", ""), 0},
		"in another's":                            {seen("q", "limited", ""), 1},
		"in nobody's":                             {seen("q", "", ""), 1},
		"with the key":                            {seen("q", "free", "Bearer k"), 1},
		"a probe, which no caller sent":           {seen("probe-1", "free", ""), 0},
		"one without key or name":                 {seen("n", "", ""), 0},
		"a name for a request without a customer": {seen("n", "free", ""), 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, len(misattributed(results, []stand.ReceivedRequest{c.seen})), c.broken)
		})
	}
}

func TestOverAllowance(t *testing.T) {
	run := func(n int, within time.Duration) []Breach {
		var results []Result
		for i := range n {
			at := time.Duration(i) * within / time.Duration(n)
			results = append(results, Result{ID: fmt.Sprint(i), Customer: "limited", Began: at, Ended: at + time.Millisecond})
		}
		return overAllowance(results, func(string) int { return 1 })
	}
	most := limitedRate*8 + limitedRate + limitedSlack
	assert.Equal(t, len(run(most, time.Second)), 0)
	assert.Equal(t, len(run(most+1, time.Second)), 1)
	assert.Equal(t, len(run(most+1, 9*time.Second)), 0)
}

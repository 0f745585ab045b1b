package claims

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// faultRow is one row of the table in docs/design/at-most-once.md: a caller
// sends a request through entry 0 and repeats it through entry 1.
type faultRow struct {
	// faults is a list of "step: fault". Each fault is injected once, at the first
	// step of its kind.
	faults string
	// repeatAfter is the time from the first request to the second.
	repeatAfter time.Duration
	// first and again are the outcomes that the two requests receive.
	first, again string
	runs         int
}

var faultTable = []faultRow{
	{"", 0, "done", "done", 1},
	{"", 3 * time.Second, "done", "done", 1},
	{"claim: ask-lost", 5 * time.Second, "done", "done", 1},
	{"claim: answer-lost", 5 * time.Second, "done", "done", 1},
	{"read: unavailable", time.Second, "done", "done", 1},
	{"read: lost-after", time.Second, "done", "done", 1},
	{"append: unavailable", time.Second, "done", "done", 1},
	{"append: lost-before", 0, "done", "done", 1},
	{"append: lost-after", 0, "done", "done", 1},
	{"append: late", 0, "done", "done", 1},
	{"hand-over: lost", time.Second, "done", "done", 1},
	{"hand-over: late", 0, "done", "done", 1},
	{"hand-over: entry-dies", time.Second, "entry lost", "done", 1},
	{"hand-over: entry-pauses", time.Second, "done", "done", 1},
	{"hand-over: agent-restarts", time.Second, "done", "done", 1},
	{"hand-over: host-gone", time.Second, "may-have-run answer-lost", "may-have-run answer-lost", 0},
	{"queue: refused", time.Second, "not-run queue-full", "done", 1},
	{"run: engine-dies", time.Second, "may-have-run upstream-lost", "may-have-run upstream-lost", 1},
	{"run: agent-restarts", time.Second, "may-have-run answer-lost", "may-have-run answer-lost", 1},
	{"answer: lost", time.Second, "done", "done", 1},
	{"answer: lost, attach: lost", time.Second, "done", "done", 1},
	{"answer: lost, attach: agent-restarts", time.Second, "may-have-run answer-lost", "may-have-run answer-lost", 1},
	{"answer: lost, ask: entry-dies", time.Second, "entry lost", "done", 1},
	{"hand-over: lost, ask: lost", time.Second, "done", "done", 1},
	{"hand-over: lost, ask: late", time.Second, "done", "done", 1},
	{"hand-over: lost, ask: entry-pauses", time.Second, "done", "done", 1},
	{"hand-over: lost, ask: agent-restarts", time.Second, "may-have-run answer-lost", "may-have-run answer-lost", 0},
	{"hand-over: late, ask: host-gone", time.Second, "may-have-run answer-lost", "may-have-run answer-lost", 0},
	{"hand-over: entry-dies, ask: entry-dies", time.Second, "entry lost", "entry lost", 0},
}

func TestFaultTable(t *testing.T) {
	for _, row := range faultTable {
		t.Run(row.faults+" again after "+row.repeatAfter.String(), func(t *testing.T) {
			w := newSimulation(3, 2, 2)
			w.fault = injectOnce(row.faults)
			first := w.send("first", "key0", 7, 0, 10*time.Second)
			w.runUntil(start.Add(row.repeatAfter))
			again := w.send("again", "key0", 7, 1, 10*time.Second)
			w.runUntil(start.Add(30 * time.Second))
			w.check()
			assert.DeepEqual(t, w.violations, []string(nil))
			assert.Equal(t, received(first), row.first, strings.Join(w.log, "\n"))
			assert.Equal(t, received(again), row.again, strings.Join(w.log, "\n"))
			assert.Equal(t, len(w.runs), row.runs)
		})
	}
}

// injectOnce injects each of the faults at the first step of its kind.
func injectOnce(faults string) func(string) string {
	pending := make(map[string]string)
	for _, f := range strings.Split(faults, ", ") {
		step, fault, _ := strings.Cut(f, ": ")
		pending[step] = fault
	}
	return func(step string) string {
		f := pending[step]
		delete(pending, step)
		return f
	}
}

func received(s *send) string {
	if s.refusal == nil || s.lost {
		return s.outcome()
	}
	return s.outcome() + " " + string(s.refusal.Code)
}

// TestPlatformDown repeats a keyed request while the platform is down. An entry
// that knows the claim must relay the stored answer. An entry that doesn't, and a
// request with a new key, must be refused before anything runs, with a time to
// retry.
func TestPlatformDown(t *testing.T) {
	w := newSimulation(1, 2, 2)
	w.fault = injectOnce("")
	w.send("before", "key0", 7, 0, 5*time.Second)
	w.runUntil(start.Add(5 * time.Second))
	w.down = true
	sends := map[string]*send{
		"done":                           w.send("knows", "key0", 7, 0, 5*time.Second),
		"not-run claim-unavailable":      w.send("doesn't know", "key0", 7, 1, 5*time.Second),
		"not-run claim-unavailable, too": w.send("new key", "key1", 7, 0, 5*time.Second),
		"not-run key-reused":             w.send("other body", "key0", 8, 0, 5*time.Second),
	}
	w.runUntil(start.Add(12 * time.Second))
	for want, s := range sends {
		assert.Equal(t, received(s), strings.TrimSuffix(want, ", too"))
		if s.refusal != nil && s.refusal.Code == core.CodeClaimUnavailable {
			assert.Assert(t, s.refusal.RetryAt.After(start))
		}
	}
	w.down = false
	after := w.send("after", "key1", 7, 0, 5*time.Second)
	w.runUntil(start.Add(20 * time.Second))
	assert.Equal(t, received(after), "done")
	w.check()
	assert.DeepEqual(t, w.violations, []string(nil))
}

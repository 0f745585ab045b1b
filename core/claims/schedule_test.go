package claims

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// seeds returns the first seed and the number of random schedules of a test run.
// RADISHWELL_FIRST and RADISHWELL_SCHEDULES override them for long runs.
func seeds(t *testing.T, defaultCount int) (first, count uint64) {
	t.Helper()
	return envUint(t, "RADISHWELL_FIRST", 0), envUint(t, "RADISHWELL_SCHEDULES", defaultCount)
}

func envUint(t *testing.T, name string, fallback int) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return uint64(fallback)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// runSchedule runs one random schedule: requests with two keys through three
// entries to two agents, with faults at every step for 30 s and none afterwards.
func runSchedule(seed uint64, disabled disabledGuards) *simulation {
	w := newSimulation(seed, 3, 2)
	w.disabled = disabled
	w.faultRate = []float64{0, 0.05, 0.2}[w.rng.IntN(3)]
	w.scheduleFaults(start.Add(30 * time.Second))
	for i := range 3 + w.rng.IntN(5) {
		at := time.Duration(w.rng.Int64N(int64(15 * time.Second)))
		w.after(at, func() {
			body := core.Fingerprint(7)
			if w.rng.IntN(12) == 0 {
				body = 8
			}
			w.send(fmt.Sprint(i), fmt.Sprint("key", w.rng.IntN(2)), body, w.rng.IntN(3), time.Duration(1+w.rng.IntN(12))*time.Second)
		})
	}
	w.runUntil(start.Add(30 * time.Second))
	w.faultRate, w.down = 0, false
	w.runUntil(start.Add(90 * time.Second))
	w.check()
	return w
}

// scheduleFaults schedules crashes, pauses and outages, and claims of other keys, which
// advance the ring of segments.
func (w *simulation) scheduleFaults(end time.Time) {
	for i := range 24 {
		at := time.Duration(w.rng.Int64N(int64(end.Sub(start))))
		w.after(at, func() { w.claimFiller(i) })
	}
	if w.faultRate == 0 {
		return
	}
	for range w.rng.IntN(6) {
		at := time.Duration(w.rng.Int64N(int64(end.Sub(start))))
		w.after(at, w.injectFailure)
	}
}

// injectFailure crashes or pauses a random entry or agent, or makes the platform
// unavailable for a while.
func (w *simulation) injectFailure() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	a := w.agents[w.rng.IntN(len(w.agents))]
	pause := w.now.Add(time.Duration(w.rng.Int64N(int64(8 * time.Second))))
	switch w.rng.IntN(5) {
	case 0:
		w.bootEntry(e)
	case 1:
		e.paused = pause
	case 2:
		w.bootAgent(a)
	case 3:
		a.paused = pause
	case 4:
		w.down = true
		w.after(pause.Sub(w.now), func() { w.down = false })
	}
}

// claimFiller claims a key of its own that expires within two seconds.
func (w *simulation) claimFiller(i int) {
	e := w.entries[w.rng.IntN(len(w.entries))]
	c := Claim{
		ID: dedupe.KeyOf("other", fmt.Sprint(i)), Attempt: 1, Claimant: w.rng.Uint64(),
		Host: "agent-0", Expires: ExpiryOf(w.now, time.Second),
	}
	token := w.rng.Uint64()
	e.pending[token] = func(Answer) {}
	w.apply(e, e.journal.Submit(w.now, Submission{Token: token, Claim: c, GiveUp: w.now.Add(2 * time.Second)}))
}

func (w *simulation) failf(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// check compares the answers that callers received with the runs.
func (w *simulation) check() {
	for _, key := range []string{"key0", "key1"} {
		if runs := w.runsOf(dedupe.KeyOf("owner", key)); len(runs) > 1 {
			w.failf("%s ran %d times", key, len(runs))
		}
	}
	for _, s := range w.sends {
		w.checkSend(s)
	}
}

func (w *simulation) checkSend(s *send) {
	runs := w.runsOf(s.call.ID)
	switch {
	case s.lost:
	case !s.finished:
		w.failf("send %s got no answer", s.name)
	case s.refusal == nil && len(runs) == 0:
		w.failf("send %s is done but nothing ran", s.name)
	case s.refusal == nil && s.answer != runs[0].answer:
		w.failf("send %s got %q instead of %q", s.name, s.answer, runs[0].answer)
	case s.refusal != nil && s.refusal.Outcome == core.NotRun:
		w.checkNotRun(s, runs)
	}
}

// checkNotRun checks both promises of "not run": no attempt claimed by this call
// ever runs; and nothing had run under the key when the refusal was made, unless
// the platform was unavailable or the key was used with another body.
func (w *simulation) checkNotRun(s *send, runs []run) {
	for _, r := range runs {
		if r.claimant == s.call.Claimant {
			w.failf("send %s received %q but ran", s.name, s.refusal)
		}
	}
	code := s.refusal.Code
	if s.runsAtRefusal > 0 && code != core.CodeClaimUnavailable && code != core.CodeKeyReused {
		w.failf("send %s received %q although its key had run", s.name, s.refusal)
	}
}

// TestAtMostOnceUnderRandomFaults repeats keyed requests through other entries
// while entries and agents crash, pause and restart, messages are lost or late,
// and the platform is down or its responses are lost.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	outcomes := make(map[string]int)
	first, count := seeds(t, 300)
	for seed := first; seed < first+count; seed++ {
		w := runSchedule(seed, disabledGuards{})
		for _, violation := range w.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		for _, s := range w.sends {
			outcomes[s.outcome()]++
		}
	}
	t.Log(outcomes)
	if count < 300 {
		return // too few schedules to see every outcome
	}
	for _, o := range []string{"done", "not-run", "may-have-run", "entry lost"} {
		assert.Assert(t, outcomes[o] > 0, "no schedule ends with %s", o)
	}
}

func (s *send) outcome() string {
	switch {
	case s.lost:
		return "entry lost"
	case !s.finished:
		return "none"
	case s.refusal == nil:
		return "done"
	}
	return s.refusal.Outcome.String()
}

// TestChecksNoticeMissingGuards switches off one guard at a time and expects the
// checks to detect it. A guard whose absence goes undetected is either useless or
// untested.
func TestChecksNoticeMissingGuards(t *testing.T) {
	for name, missing := range map[string]struct {
		disabled disabledGuards
		// from is the first seed to try, shortly before one that shows the fault.
		from uint64
	}{
		"hand-over without a claim":            {disabledGuards{noClaims: true}, 0},
		"agents answer without sealing":        {disabledGuards{noSeal: true}, 200},
		"agents keep their incarnation":        {disabledGuards{noIncarnation: true}, 0},
		"updates are unconditional":            {disabledGuards{noVersions: true}, 0},
		"an unsure claim counts as won":        {disabledGuards{trustUnsure: true}, 0},
		"agents forget what they refused":      {disabledGuards{forgetsRefused: true}, 830},
		"claims age out before their deadline": {disabledGuards{earlyExpiry: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := missing.from; seed < missing.from+3000; seed++ {
				if w := runSchedule(seed, missing.disabled); len(w.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Fatal("no schedule shows the fault")
		})
	}
}

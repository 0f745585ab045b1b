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
// RADISHWELL_FIRST and RADISHWELL_SCHEDULES set others for a long run.
func seeds(t *testing.T, usual int) (first, count uint64) {
	t.Helper()
	return env(t, "RADISHWELL_FIRST", 0), env(t, "RADISHWELL_SCHEDULES", usual)
}

func env(t *testing.T, name string, usual int) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return uint64(usual)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return n
}

// play runs one random schedule: sendings of two keys through three entries to
// two agents, with faults at every step for 30 s, then none.
func play(seed uint64, broken variant) *world {
	w := newWorld(seed, 3, 2)
	w.broken = broken
	w.chance = []float64{0, 0.05, 0.2}[w.rng.IntN(3)]
	w.disturb(start.Add(30 * time.Second))
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
	w.chance, w.down = 0, false
	w.runUntil(start.Add(90 * time.Second))
	w.check()
	return w
}

// disturb plans crashes, pauses, outages and claims of other keys, which move
// the ring of segments on.
func (w *world) disturb(end time.Time) {
	for i := range 24 {
		at := time.Duration(w.rng.Int64N(int64(end.Sub(start))))
		w.after(at, func() { w.filler(i) })
	}
	if w.chance == 0 {
		return
	}
	for range w.rng.IntN(6) {
		at := time.Duration(w.rng.Int64N(int64(end.Sub(start))))
		w.after(at, w.upset)
	}
}

func (w *world) upset() {
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

// filler claims a key of its own that ages out at once.
func (w *world) filler(i int) {
	e := w.entries[w.rng.IntN(len(w.entries))]
	c := Claim{
		ID: dedupe.KeyOf("other", fmt.Sprint(i)), Attempt: 1, Claimant: w.rng.Uint64(),
		Host: "agent-0", Expires: ExpiryOf(w.now, time.Second),
	}
	token := w.rng.Uint64()
	e.asks[token] = func(Answer) {}
	w.apply(e, e.journal.Ask(w.now, Ask{Token: token, Claim: c, GiveUp: w.now.Add(2 * time.Second)}))
}

func (w *world) failf(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// check holds what callers were told against what ran.
func (w *world) check() {
	for _, key := range []string{"key0", "key1"} {
		if runs := w.runsOf(dedupe.KeyOf("owner", key)); len(runs) > 1 {
			w.failf("%s ran %d times", key, len(runs))
		}
	}
	for _, s := range w.sends {
		w.checkSend(s)
	}
}

func (w *world) checkSend(s *send) {
	runs := w.runsOf(s.call.ID)
	switch {
	case s.lost:
	case !s.over:
		w.failf("send %s got no answer", s.name)
	case s.refusal == nil && len(runs) == 0:
		w.failf("send %s is done but nothing ran", s.name)
	case s.refusal == nil && s.answer != runs[0].answer:
		w.failf("send %s got %q instead of %q", s.name, s.answer, runs[0].answer)
	case s.refusal != nil && s.refusal.Outcome == core.NotRun:
		w.checkNotRun(s, runs)
	}
}

// checkNotRun checks the two meanings of "not run": no attempt of this sending
// ever runs; and, unless the platform couldn't be asked or the body was
// another, nothing had run under the key when the caller was told.
func (w *world) checkNotRun(s *send, runs []run) {
	for _, r := range runs {
		if r.claimant == s.call.Claimant {
			w.failf("send %s was told %q but ran", s.name, s.refusal)
		}
	}
	code := s.refusal.Code
	if s.runsThen > 0 && code != core.CodeClaimUnknown && code != core.CodeKeyReused {
		w.failf("send %s was told %q when its key had run", s.name, s.refusal)
	}
}

// A caller posts to a ledger, gets no answer in time and posts again through
// another entry, while entries and agents die, pause and restart, messages are
// lost or come late, and the platform is down or loses its answers.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	outcomes := make(map[string]int)
	first, count := seeds(t, 300)
	for seed := first; seed < first+count; seed++ {
		w := play(seed, variant{})
		for _, wrong := range w.wrong {
			t.Errorf("seed %d: %s", seed, wrong)
		}
		for _, s := range w.sends {
			outcomes[s.outcome()]++
		}
	}
	t.Log(outcomes)
	if count < 300 {
		return // a look at single seeds
	}
	for _, o := range []string{"done", "not-run", "may-have-run", "entry lost"} {
		assert.Assert(t, outcomes[o] > 0, "no schedule ends with %s", o)
	}
}

func (s *send) outcome() string {
	switch {
	case s.lost:
		return "entry lost"
	case !s.over:
		return "none"
	case s.refusal == nil:
		return "done"
	}
	return s.refusal.Outcome.String()
}

// Each guard is switched off in turn; the checks must notice. A guard that can
// go without a trace is either useless or untested.
func TestChecksNoticeMissingGuards(t *testing.T) {
	for name, missing := range map[string]struct {
		broken variant
		// from is the seed to start at, shortly before one that shows the fault.
		from uint64
	}{
		"hand-over without a claim":            {variant{noClaims: true}, 0},
		"agents answer without sealing":        {variant{noSeal: true}, 200},
		"agents keep their incarnation":        {variant{noIncarnation: true}, 0},
		"updates are unconditional":            {variant{noVersions: true}, 0},
		"an unsure claim counts as won":        {variant{trustUnsure: true}, 0},
		"agents forget what they refused":      {variant{forgetsRefused: true}, 830},
		"claims age out before their deadline": {variant{earlyExpiry: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := missing.from; seed < missing.from+3000; seed++ {
				if w := play(seed, missing.broken); len(w.wrong) > 0 {
					t.Logf("seed %d: %s", seed, w.wrong[0])
					return
				}
			}
			t.Fatal("no schedule shows the fault")
		})
	}
}

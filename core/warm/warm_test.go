package warm

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

var start = time.Date(2026, 11, 2, 0, 0, 0, 0, time.UTC) // a Monday

const item = core.ModelName("ledger")

// policyFor returns a policy with one item whose loads take ten seconds.
func policyFor(class core.Class) *Policy {
	p := &Policy{}
	p.Set(Item{Name: item, Class: class, Accelerators: 1})
	p.NoteLoad(item, 10*time.Second)
	return p
}

// use simulates one short use.
func use(p *Policy, at time.Time) time.Time {
	p.Begin(at, item, p.items[item].item.Class)
	end := at.Add(time.Second)
	p.End(end, item)
	return end
}

func assertKept(t *testing.T, p *Policy, end time.Time, least, most time.Duration) {
	t.Helper()
	kept := p.KeepUntil(end, item).Sub(end)
	assert.Assert(t, kept >= least && kept <= most, "kept for %s", kept)
}

func TestNothingKnownIsSkiRental(t *testing.T) {
	p := policyFor(core.Interactive)
	assertKept(t, p, use(p, start), 10*time.Minute, 10*time.Minute)
	p = policyFor(core.Overnight)
	assertKept(t, p, use(p, start), 20*time.Second, 20*time.Second)
}

func TestInUseIsKept(t *testing.T) {
	p := policyFor(core.Overnight)
	p.Begin(start, item, core.Overnight)
	assert.Assert(t, p.KeepUntil(start.Add(time.Hour), item).After(start.Add(time.Hour)))
}

func TestShortPausesAreBridged(t *testing.T) {
	p := policyFor(core.Interactive)
	at := start
	for range 4 {
		for range 10 {
			at = use(p, at).Add(100 * time.Second)
		}
		at = at.Add(5 * time.Hour)
	}
	end := use(p, at)
	assertKept(t, p, end, 100*time.Second, 4*time.Minute)
}

func TestLongPausesAreNotHeldFor(t *testing.T) {
	p := policyFor(core.Interactive)
	at := start
	for range 40 {
		at = use(p, at).Add(3 * time.Hour)
	}
	assertKept(t, p, use(p, at), 0, time.Minute)
}

// simulateDays simulates a session of uses each day at about the same time.
func simulateDays(p *Policy, from time.Time, days int, at time.Duration, rng *rand.Rand) time.Time {
	for day := range days {
		when := from.AddDate(0, 0, day).Add(at + time.Duration(rng.Int64N(int64(4*time.Minute))))
		for range 5 {
			when = use(p, when).Add(20 * time.Second)
		}
	}
	return from.AddDate(0, 0, days)
}

func prewarmed(p *Policy, now time.Time) bool {
	return len(p.Prewarm(now, func(core.ModelName) bool { return false })) > 0
}

// Guards against a regular session whose first request waits for a load. After a week with
// a session at eight every evening, the model must be loaded shortly before, and not in the
// middle of the day.
func TestEveningIsPrewarmed(t *testing.T) {
	p := policyFor(core.Evening)
	p.Worth = Worth{core.Evening: 240}
	next := simulateDays(p, start, 5, 20*time.Hour, rand.New(rand.NewPCG(1, 1)))
	next = next.AddDate(0, 0, 2) // Monday again
	assert.Assert(t, prewarmed(p, next.Add(20*time.Hour-20*time.Second)), "not loaded before the session")
	assert.Assert(t, !prewarmed(p, next.Add(14*time.Hour)), "loaded in the afternoon")
}

// Guards against a model that is loaded for a habit that has ended. After a few evenings
// without a session, the loads ahead of need must stop.
func TestEndedHabitIsForgotten(t *testing.T) {
	p := policyFor(core.Evening)
	p.Worth = Worth{core.Evening: 240}
	next := simulateDays(p, start, 19, 20*time.Hour, rand.New(rand.NewPCG(1, 2)))
	wasted := 0
	for day := range 60 {
		if prewarmed(p, next.AddDate(0, 0, day).Add(20*time.Hour-20*time.Second)) {
			wasted++
		}
	}
	assert.Assert(t, wasted >= 1 && wasted <= 8, "loaded in vain on %d days", wasted)
}

func TestPrewarmIsBounded(t *testing.T) {
	p := &Policy{Worth: Worth{core.Evening: 240}}
	rng := rand.New(rand.NewPCG(1, 3))
	for i := range 20 {
		name := core.ModelName(rune('a' + i))
		p.Set(Item{Name: name, Class: core.Evening, Accelerators: 0.1})
		p.NoteLoad(name, 10*time.Second)
		for day := range 5 {
			at := start.AddDate(0, 0, day).Add(20*time.Hour + time.Duration(rng.Int64N(int64(4*time.Minute))))
			p.Begin(at, name, core.Evening)
			p.End(at.Add(time.Second), name)
		}
	}
	got := p.Prewarm(start.AddDate(0, 0, 7).Add(20*time.Hour-20*time.Second), func(core.ModelName) bool { return false })
	assert.Equal(t, len(got), maxPrewarm)
	for i := 1; i < len(got); i++ {
		assert.Assert(t, got[i-1].Gain >= got[i].Gain)
	}
}

func TestScoreOrdersByUse(t *testing.T) {
	p := policyFor(core.Interactive)
	p.Set(Item{Name: "other", Class: core.Overnight, Accelerators: 1})
	p.Begin(start, "other", core.Overnight)
	p.End(start, "other")
	end := use(p, start)
	assert.Assert(t, p.Score(end, item) > p.Score(end, "other"))
}

// Guards against a base model that is kept by its own class alone. A model for overnight
// reviews is also the base of an adapter that is used interactively. It was unloaded after
// each use, and every check waited for it.
func TestBaseCountsForItsUsers(t *testing.T) {
	p := policyFor(core.Overnight)
	p.Begin(start, item, core.Interactive)
	p.End(start.Add(time.Second), item)
	assertKept(t, p, start.Add(time.Second), 10*time.Minute, 10*time.Minute)
}

func TestRemoveForgets(t *testing.T) {
	p := policyFor(core.Interactive)
	use(p, start)
	p.Remove(item)
	assert.Equal(t, p.Len(), 0)
	assert.Assert(t, !p.KeepUntil(start, item).After(start))
}

func BenchmarkKeepUntil(b *testing.B) {
	p := policyFor(core.Interactive)
	at := start
	for range 50 {
		at = use(p, at).Add(100 * time.Second)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.KeepUntil(at, item)
	}
}

package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/retry"
)

const span = 10 * time.Second

func newWindow(ratio, spare float64) *retry.Window {
	return &retry.Window{Ratio: ratio, Span: span, Spare: &retry.Spare{Span: span, Initial: spare}}
}

// most returns the largest number of the times that are in one span.
func most(times []time.Time) int {
	out := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) >= span {
			first++
		}
		out = max(out, last-first+1)
	}
	return out
}

// An upstream fails every request. Without a budget each request is sent again,
// which doubles the load under which the upstream fails already.
func TestWindowBoundsRepeats(t *testing.T) {
	w := newWindow(0.2, 5)
	start := time.Unix(5000, 0)
	var taken []time.Time
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		w.RecordFirst(now, now)
		if w.Take(now) {
			w.Settle(now)
			taken = append(taken, now)
		}
	}
	assert.Assert(t, most(taken) <= 205)
	assert.Assert(t, len(taken) > 5*195, "%d retries of 6000 requests: the ratio is not used", len(taken))
}

func TestWindowSlides(t *testing.T) {
	w := newWindow(0, 2)
	now := time.Unix(5000, 0)
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, w.Take(now), want)
	}
	assert.Assert(t, !w.Take(now.Add(time.Hour)), "neither of the first has ended")
	now = now.Add(time.Hour)
	w.Settle(now)
	w.Lose(now)
	assert.Assert(t, !w.Take(now.Add(9900*time.Millisecond)))
	now = now.Add(10200 * time.Millisecond)
	assert.Assert(t, w.Take(now), "the first retry had arrived")
	w.Return(now)
	assert.Equal(t, w.Remaining(now), 1.0, "the second may have arrived late")
	now = now.Add(6 * time.Second)
	assert.Equal(t, w.Remaining(now), 2.0)
	assert.Equal(t, w.Remaining(now.Add(-time.Hour)), 2.0, "after the clock went back")
}

// Guards against two bursts of retries that each take the whole budget within one window of
// the platform: the buckets covered less than the window, and a retry arrives at its upstream
// some time after it was taken from the budget.
func TestBurstsInOneWindowShareTheBudget(t *testing.T) {
	start := time.Unix(5000, 0)
	for _, offset := range []time.Duration{0, 100 * time.Millisecond, 499 * time.Millisecond} {
		for _, delay := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second} { // of the first burst
			for gap := span - time.Second; gap < span+delay; gap += 50 * time.Millisecond {
				w := newWindow(0.2, 5)
				first := start.Add(offset)
				taken := 0
				for _, at := range []time.Time{first, first.Add(gap)} {
					for range 10 {
						if w.Take(at) {
							taken++
							w.Lose(at)
						}
					}
				}
				assert.Assert(t, taken <= 5, "%d retries, %v apart on the upstream's side, offset %v", taken, gap-delay, offset)
			}
		}
	}
}

// Guards against a window that pays retries from two bursts of requests, of which each of the
// platform's windows has only one.
func TestLoadJumpsShareTheBudget(t *testing.T) {
	w := newWindow(0.2, 1) // one retry may be in flight
	start := time.Unix(5000, 0)
	taken := 0
	for _, at := range []time.Time{start, start.Add(9 * time.Second)} {
		for range 1000 {
			w.RecordFirst(at, at)
		}
	}
	now := start.Add(9 * time.Second)
	for w.Take(now) {
		w.Settle(now)
		taken++
	}
	assert.Equal(t, taken, 201)
}

// Guards against retries that a high load has earned and that arrive, since their hosts stand still, in a
// window of a lower one.
func TestUnsettledRetriesStayWithinSpare(t *testing.T) {
	w := newWindow(0.2, 3)
	now := time.Unix(5000, 0)
	for range 1000 {
		w.RecordFirst(now, now)
	}
	for range 3 {
		assert.Assert(t, w.Take(now))
	}
	assert.Assert(t, !w.Take(now) && !w.Charge(now), "four may arrive in a window without requests")
	w.Settle(now)
	assert.Assert(t, w.Take(now), "the requests have earned it")
}

// Guards against a retry of another process that counts nowhere, since it was answered after its lender had
// stopped counting it.
func TestLateEndOfLentRetryCounts(t *testing.T) {
	w := newWindow(0, 3)
	now := time.Unix(5000, 0)
	for range 2 {
		assert.Assert(t, w.Charge(now))
	}
	w.EndLent(now.Add(5*time.Second), now)
	assert.Equal(t, w.Remaining(now), 2.0)
	w.EndLent(now.Add(5*time.Second+1), now)
	assert.Equal(t, w.Remaining(now.Add(6*time.Second)), 2.0)
}

// Guards against a process that starts and uses its part while hosts stand still that its predecessor sent
// retries to.
func TestGateWaitsForHosts(t *testing.T) {
	var g retry.Gate
	now := time.Unix(5000, 0)
	ran := now
	haveRun := func(since time.Time) bool { return ran.After(since) }
	assert.Equal(t, g.Part(now, 0, haveRun), 0.0)
	_, waits := g.Since()
	assert.Assert(t, !waits, "it has no part yet")
	now = now.Add(time.Second)
	ran = now
	assert.Equal(t, g.Part(now, 4, haveRun), 0.0)
	since, waits := g.Since()
	assert.Assert(t, waits && since.Equal(now))
	ran = now.Add(1)
	assert.Equal(t, g.Part(now.Add(time.Minute), 5, haveRun), 5.0)
	ran = now
	assert.Equal(t, g.Part(now.Add(time.Hour), 2, haveRun), 2.0, "it stays open")
}

// Guards against a process that starts and uses a part of the spare retries again that its
// predecessor has used.
func TestLargerSpareAppliesLater(t *testing.T) {
	w := newWindow(0, 0)
	now := time.Unix(5000, 0)
	assert.Equal(t, w.Remaining(now), 0.0)
	w.Spare.Set(now, 7)
	late := span/2 + retry.LoanTime(span)
	assert.Equal(t, w.Remaining(now.Add(span+late)), 0.0, "a retry of the predecessor may be in the window")
	now = now.Add(span + late + span/50)
	assert.Equal(t, w.Remaining(now), 7.0)
	w.Spare.Set(now, 3)
	assert.Equal(t, w.Remaining(now), 3.0, "a smaller one applies at once")
}

func TestLend(t *testing.T) {
	w := newWindow(0, 10)
	now := time.Unix(5000, 0)
	assert.Equal(t, w.Lend(now, 3), 3)
	assert.Equal(t, w.Lend(now, 8), 3, "no more than half of what is left")
	assert.Equal(t, w.Remaining(now), 4.0)
	assert.Equal(t, w.Remaining(now.Add(span+span/2)), 4.0, "what is lent may be sent later and arrive late")
	assert.Equal(t, w.Remaining(now.Add(2*span)), 10.0)
	assert.Equal(t, w.Lend(now, 0), 0)
}

func TestLoans(t *testing.T) {
	var l retry.Loans
	now := time.Unix(5000, 0)
	until := now.Add(retry.LoanTime(span))
	assert.Assert(t, !l.Take(now) && l.Ask(now) > 0)
	l.Add(now, 0, until)
	assert.Equal(t, l.Ask(now), 0, "not at once after an ask in vain")
	now = now.Add(time.Second / 2)
	assert.Assert(t, l.Ask(now) > 0)
	l.Add(now, 2, until)
	assert.Assert(t, l.Take(now) && l.Left(now) == 1)
	l.Add(now, 1, until.Add(time.Second))
	assert.Equal(t, l.Left(until), 0, "both end with the first")
	l.Add(until, 1, until.Add(time.Second))
	assert.Assert(t, l.Take(until) && !l.Take(until))
}

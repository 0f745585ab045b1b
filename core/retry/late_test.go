package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/retry"
)

// Guards against a retry that stops counting before its host has read it, however long that stands still.
func TestHeldRetryCountsUntilItsHostHasRun(t *testing.T) {
	start := time.Unix(5000, 0)
	for name, c := range map[string]struct {
		runs time.Duration // when the hosts have run, zero if they never do
		free time.Duration // when the retry is in no window any more
	}{
		"runs at once": {runs: time.Second, free: time.Second + span + span/2 + retry.LoanTime(span)},
		"stands still": {runs: 25 * time.Second, free: 25*time.Second + span + span/2 + retry.LoanTime(span)},
		"for hours":    {runs: 5 * time.Hour, free: 5*time.Hour + span + span/2 + retry.LoanTime(span)},
	} {
		t.Run(name, func(t *testing.T) {
			w, h := newWindow(0, 1), retry.Held{}
			assert.Assert(t, w.Take(start))
			h.Hold([]retry.Unread{{Host: "i-1", Ended: start}, {Host: "i-2", Ended: start}})
			now := start
			for w.Remaining(now) < 1 {
				now = now.Add(100 * time.Millisecond)
				h.Release(now, w, func(u retry.Unread) bool {
					return c.runs > 0 && now.Sub(start) >= c.runs && (u.Host == "i-1" || now.Sub(start) > c.runs)
				})
			}
			assert.Assert(t, now.Sub(start) >= c.free && now.Sub(start) < c.free+time.Second, "%v", now.Sub(start))
		})
	}
}

package deploy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that together exceed the platform's limit of spare retries while an
// upstream fails. With a tenth of the spare retries for each, 28 entries made three times as
// many as the platform allows.
func TestSpareRetriesAreShared(t *testing.T) {
	for _, entries := range []int{1, 5, 28, 400} {
		sum := spareRetries(96, entries) * float64(entries)
		assert.Assert(t, sum <= 96 && sum > 70, "%d entries: %v", entries, sum)
	}
	assert.Assert(t, spareRetries(96, 0) < 10, "a small share while the number of entries is unknown")
}

// Guards against counting a failed call to a dead planner in the duration of a decision. The
// call takes a second, so the entry that replaces the planner would pause for seconds before
// it has any model loaded.
func TestPauseCountsPlanningOnly(t *testing.T) {
	assert.Equal(t, pauseAfter(0), time.Duration(0))
	assert.Equal(t, pauseAfter(10*time.Millisecond), 50*time.Millisecond)
	assert.Equal(t, pauseAfter(time.Second), planInterval)
}

package deploy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Twenty-eight entries retry at once while an upstream fails. The platform counts
// their retries together: with a tenth of the spare ones for each, they made three
// times what it allows.
func TestSpareRetriesAreShared(t *testing.T) {
	for _, entries := range []int{1, 5, 28, 400} {
		sum := spareOf(96, entries) * float64(entries)
		assert.Assert(t, sum <= 96 && sum > 70, "%d entries: %v", entries, sum)
	}
	assert.Assert(t, spareOf(96, 0) < 10, "few while nothing is known of others")
}

// The planner dies. The entry that takes its place finds that out by a call that takes a
// second; resting for a multiple of that, it would have no model loaded for seconds.
func TestPlannerRestsForItsWorkOnly(t *testing.T) {
	assert.Equal(t, restAfter(0), time.Duration(0))
	assert.Equal(t, restAfter(10*time.Millisecond), 50*time.Millisecond)
	assert.Equal(t, restAfter(time.Second), planEvery)
}

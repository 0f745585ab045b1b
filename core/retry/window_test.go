package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/retry"
)

// An upstream fails every request. Without a budget each request is sent again,
// which doubles the load under which the upstream fails already.
func TestWindowBoundsRepeats(t *testing.T) {
	w := &retry.Window{Ratio: 0.2, Spare: 5, Span: 10 * time.Second}
	start := time.Unix(5000, 0)
	taken := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		w.RecordFirst(now)
		if w.Take(now) {
			taken++
		}
	}
	assert.Equal(t, taken, 205)
}

func TestWindowSlides(t *testing.T) {
	w := &retry.Window{Spare: 2, Span: 10 * time.Second}
	now := time.Unix(5000, 0)
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, w.Take(now), want)
	}
	assert.Assert(t, !w.Take(now.Add(9*time.Second)))
	assert.Assert(t, w.Take(now.Add(11*time.Second)))
	assert.Equal(t, w.Remaining(now.Add(time.Hour)), 2.0)
	assert.Equal(t, w.Remaining(now), 2.0, "after the clock went back")
}

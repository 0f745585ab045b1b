package recent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/recent"
)

func TestTimes(t *testing.T) {
	var times recent.Times
	for i := range 7 {
		times.Add(time.Duration(7 - i))
	}
	_, known := times.Longest()
	assert.Assert(t, !known && times.Sorted() == nil, "too few")
	times.Add(100)
	longest, known := times.Longest()
	assert.Assert(t, known && longest == 100)
	assert.DeepEqual(t, times.Sorted(), []time.Duration{1, 2, 3, 4, 5, 6, 7, 100})
	for range 64 {
		times.Add(9)
	}
	longest, _ = times.Longest()
	assert.Equal(t, longest, time.Duration(9), "older ones count no more")
	assert.Equal(t, len(times.Sorted()), 64)
}

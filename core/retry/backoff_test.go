package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/retry"
)

func TestBackoffDoubles(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		0: time.Second, 1: 2 * time.Second, 2: 4 * time.Second, 3: 5 * time.Second, 1000: 5 * time.Second,
	} {
		assert.Equal(t, retry.Backoff(time.Second, 5*time.Second, failures), want, "after %d", failures)
	}
}

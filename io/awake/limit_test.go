package awake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a limit that counts the time in which the process did not run.
func TestStandstillDoesNotCount(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	l := &limit{step: 100 * time.Millisecond, left: steps, last: at, timer: time.NewTimer(time.Hour)}
	defer l.timer.Stop()
	pass := func(after time.Duration) bool {
		at = at.Add(after)
		return l.pass(at)
	}
	for range steps - 1 {
		assert.Assert(t, !pass(100*time.Millisecond))
	}
	assert.Assert(t, !pass(time.Minute), "the process stood still")
	assert.Assert(t, !pass(201*time.Millisecond), "and again")
	assert.Assert(t, pass(150*time.Millisecond), "a step that is a little late counts")
}

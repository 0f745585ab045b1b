package deploy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counting a failed call to a dead planner in the duration of a decision. The
// call takes a second, so the entry that replaces the planner would pause for seconds before
// it has any model loaded.
func TestPauseCountsPlanningOnly(t *testing.T) {
	assert.Equal(t, pauseAfter(0), time.Duration(0))
	assert.Equal(t, pauseAfter(10*time.Millisecond), 50*time.Millisecond)
	assert.Equal(t, pauseAfter(time.Second), planInterval)
}

package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/admit"
)

// This test guards against an entry that repeatedly calls a keeper that does
// not respond.
func TestChooser(t *testing.T) {
	now := time.Unix(1000, 0)
	order := []core.HostName{"a", "b", "self"}
	var c admit.Chooser
	assert.Equal(t, c.Choose(now, order), core.HostName("a"))
	c.RecordFailure(now, "a")
	assert.Equal(t, c.Choose(now, order), core.HostName("b"))
	c.RecordFailure(now, "b")
	assert.Equal(t, c.Choose(now, order), core.HostName("self"))
	now = now.Add(1100 * time.Millisecond)
	assert.Equal(t, c.Choose(now, order), core.HostName("a"), "it is tried again after a second")
	c.RecordFailure(now, "a")
	assert.Equal(t, c.Choose(now.Add(1100*time.Millisecond), order), core.HostName("b"), "and later after each failure")
	c.RecordResponse("a")
	assert.Equal(t, c.Choose(now, order), core.HostName("a"))
}

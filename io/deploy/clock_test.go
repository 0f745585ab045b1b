package deploy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a machine that was suspended and keeps to promises that have ended meanwhile.
func TestClockCountsSuspension(t *testing.T) {
	c := newClock()
	c.update(time.Millisecond)
	assert.Assert(t, c.Now().Before(time.Now().Add(time.Second)))
	c.update(time.Minute)
	assert.Assert(t, c.Now().After(time.Now().Add(50*time.Second)))
	c.update(0)
	assert.Assert(t, c.Now().After(time.Now().Add(50*time.Second)), "it goes back")
}

package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/fleet"
)

func TestProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, responds := range []bool{true, false} {
		var h fleet.Host
		assert.Assert(t, !h.IsUnresponsive(now), "it was never asked")
		assert.Assert(t, h.StartProbe(now))
		assert.Assert(t, !h.StartProbe(now.Add(time.Hour)), "it is being asked")
		h.EndProbe(now, responds)
		assert.Equal(t, h.IsUnresponsive(now), !responds)
		assert.Assert(t, !h.StartProbe(now.Add(900*time.Millisecond)), "the result still counts")
		assert.Assert(t, !h.IsUnresponsive(now.Add(time.Second)))
		assert.Assert(t, h.StartProbe(now.Add(time.Second)))
		assert.Assert(t, !h.IsUnresponsive(now.Add(time.Second)))
	}
}

func TestIncarnationMatches(t *testing.T) {
	inc := fleet.Incarnation{ID: "i-1", Born: 5}
	assert.Assert(t, inc.Matches("i-1", 5) && inc.Matches("", 0) && inc.Matches("i-1", 0))
	assert.Assert(t, !inc.Matches("i-2", 5) && !inc.Matches("i-1", 6))
	assert.Assert(t, fleet.Incarnation{ID: "i-1"}.Matches("i-1", 6))
}

package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

func TestNamed(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	one := core.RateLimit{Named: true, Rate: 1}
	h := &fleet.Host{}
	assert.Assert(t, !h.Named(at(0), at(10), core.RateLimit{}), "nothing has changed")
	assert.Assert(t, h.Named(at(20), at(30), one))
	assert.Equal(t, h.Limit(), one)
	// Guards against a limit that an answer lifts which the one that named it overtook.
	assert.Assert(t, !h.Named(at(25), at(40), core.RateLimit{}))
	assert.Equal(t, h.Limit(), one)
	assert.Assert(t, h.Named(at(35), at(50), core.RateLimit{}))
	assert.Equal(t, h.Limit(), core.RateLimit{})
}

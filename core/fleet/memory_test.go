package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// freeHosts returns a view of two equal hosts with the given free memory each.
func freeHosts(free ...int64) *fleet.View {
	v := view(entry("i-1", "m"), entry("i-2", "m"))
	for i, n := range free {
		v.Report(fleet.Report{
			Taken: t0, ID: []core.HostName{"i-1", "i-2"}[i], Models: entry("", "m").Models, Free: core.FreeMemory{Known: n >= 0, Tokens: n},
		})
	}
	return v
}

func longPrompt() *fleet.Query {
	q := prompt("doc", "own")
	q.Answer, q.LongAnswer, q.Target = 200, 1000, time.Second
	return q
}

// TestMemoryFull: an engine whose prompt memory is almost used up gets a long prompt, puts it back
// in the middle of its stream, and reads it again. The request must go where it fits.
func TestMemoryFull(t *testing.T) {
	t.Run("the host with room is chosen, whichever", func(t *testing.T) {
		assert.Equal(t, freeHosts(3000, 50_000).Pick(t0, longPrompt()).Host.ID, core.HostName("i-2"))
		assert.Equal(t, freeHosts(50_000, 3000).Pick(t0, longPrompt()).Host.ID, core.HostName("i-1"))
	})
	t.Run("what was sent since the report counts", func(t *testing.T) {
		v := freeHosts(14_000, 14_000)
		now := t0.Add(time.Millisecond)
		first := v.Pick(now, longPrompt()).Host
		first.NoteSent(now, longPrompt())
		next := v.Pick(now, longPrompt())
		assert.Assert(t, next.Host != first && next.FullChance == 0)
	})
	t.Run("a host is chosen though none has room", func(t *testing.T) {
		c := freeHosts(0, 0).Pick(t0, longPrompt())
		assert.Assert(t, c.Host != nil && c.FullChance == 1)
	})
}

// TestMemoryUnknown: an engine names no size of its memory, or its agent is silent. It must get
// work as before.
func TestMemoryUnknown(t *testing.T) {
	off := freeHosts(0, 0)
	off.UsePaces(false)
	assert.Equal(t, off.Pick(t0, longPrompt()).FullChance, 0.0)
	assert.Equal(t, freeHosts(-1, -1).Pick(t0, longPrompt()).FullChance, 0.0)
	assert.Equal(t, freeHosts(0, 0).Pick(t0.Add(5*time.Second), longPrompt()).FullChance, 0.0)
}

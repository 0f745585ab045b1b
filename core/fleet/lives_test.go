package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// A host is started anew under another name, which its own reports do not tell.
// The registry lists the old entry for seconds more, and entries name now one,
// now the other. Orders for the old life are refused, so loads that callers wait
// for begin only when its entry has lapsed.
func TestLives(t *testing.T) {
	t.Run("the last named runs", func(t *testing.T) {
		var l fleet.Lives
		assert.Assert(t, l.Named(t0, fleet.Life{ID: "i-1"}))
		assert.Assert(t, !l.Named(t0, fleet.Life{ID: "i-1"}))
		assert.Assert(t, l.Named(t0, fleet.Life{ID: "i-2"}))
		assert.Equal(t, l.Current(), core.HostName("i-2"))
	})
	t.Run("one that ended does not come back while its entry lapses", func(t *testing.T) {
		var l fleet.Lives
		l.Named(t0, fleet.Life{ID: "i-1"})
		l.End(t0)
		assert.Equal(t, l.Current(), core.HostName(""))
		assert.Assert(t, !l.Named(after(5*time.Second), fleet.Life{ID: "i-1"}))
		assert.DeepEqual(t, l.Ended(after(5*time.Second)), []core.HostName{"i-1"})
		assert.Assert(t, l.Named(after(5*time.Second), fleet.Life{ID: "i-2"}))
	})
	t.Run("one that the registry names for long has not ended", func(t *testing.T) {
		var l fleet.Lives
		l.Named(t0, fleet.Life{ID: "i-1"})
		l.End(t0)
		assert.Assert(t, l.Named(after(11*time.Second), fleet.Life{ID: "i-1"}))
	})
	t.Run("an ID that is born again runs", func(t *testing.T) {
		var l fleet.Lives
		l.Named(t0, fleet.Life{ID: "i-1", Born: 1})
		l.End(t0)
		assert.Assert(t, !l.Named(t0, fleet.Life{ID: "i-1", Born: 1}))
		assert.Equal(t, len(l.Ended(t0)), 0)
		assert.Assert(t, l.Named(t0, fleet.Life{ID: "i-1", Born: 2}))
	})
	t.Run("the host's own word stands above all", func(t *testing.T) {
		var l fleet.Lives
		l.Named(t0, fleet.Life{ID: "i-1"})
		l.End(t0)
		l.Said(fleet.Life{ID: "i-1"})
		assert.Equal(t, l.Current(), core.HostName("i-1"))
	})
	t.Run("no life ends while none is known", func(t *testing.T) {
		var l fleet.Lives
		l.End(t0)
		assert.Equal(t, len(l.Ended(t0)), 0)
	})
	t.Run("those remembered are bounded", func(t *testing.T) {
		var l fleet.Lives
		for i := range 20 {
			l.Named(t0, fleet.Life{ID: core.HostName(rune('a' + i))})
			l.End(t0)
		}
		assert.Equal(t, len(l.Ended(t0)), 8)
	})
}

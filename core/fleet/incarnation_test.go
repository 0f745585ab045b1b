package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// Guards against orders to an incarnation that has ended. A host restarts under another
// name, which its own reports do not give. For some seconds the registry lists the old
// entry too, and entries name either. Orders for the old incarnation are refused, so loads
// that callers wait for would begin only after the old entry has lapsed.
func TestLives(t *testing.T) {
	t.Run("the last one listed is current", func(t *testing.T) {
		var l fleet.IncarnationTracker
		assert.Assert(t, l.NoteListed(t0, fleet.Incarnation{ID: "i-1"}))
		assert.Assert(t, !l.NoteListed(t0, fleet.Incarnation{ID: "i-1"}))
		assert.Assert(t, l.NoteListed(t0, fleet.Incarnation{ID: "i-2"}))
		assert.Equal(t, l.Current(), core.HostName("i-2"))
	})
	t.Run("an ended one is not restored while its entry lapses", func(t *testing.T) {
		var l fleet.IncarnationTracker
		l.NoteListed(t0, fleet.Incarnation{ID: "i-1"})
		l.End(t0)
		assert.Equal(t, l.Current(), core.HostName(""))
		assert.Assert(t, !l.NoteListed(after(5*time.Second), fleet.Incarnation{ID: "i-1"}))
		assert.DeepEqual(t, l.Ended(after(5*time.Second)), []core.HostName{"i-1"})
		assert.Assert(t, l.NoteListed(after(5*time.Second), fleet.Incarnation{ID: "i-2"}))
	})
	t.Run("one that the registry still lists after endedTTL has not ended", func(t *testing.T) {
		var l fleet.IncarnationTracker
		l.NoteListed(t0, fleet.Incarnation{ID: "i-1"})
		l.End(t0)
		assert.Assert(t, l.NoteListed(after(11*time.Second), fleet.Incarnation{ID: "i-1"}))
	})
	t.Run("a reused ID with a later start time is current", func(t *testing.T) {
		var l fleet.IncarnationTracker
		l.NoteListed(t0, fleet.Incarnation{ID: "i-1", Born: 1})
		l.End(t0)
		assert.Assert(t, !l.NoteListed(t0, fleet.Incarnation{ID: "i-1", Born: 1}))
		assert.Equal(t, len(l.Ended(t0)), 0)
		assert.Assert(t, l.NoteListed(t0, fleet.Incarnation{ID: "i-1", Born: 2}))
	})
	t.Run("the host's own report takes precedence", func(t *testing.T) {
		var l fleet.IncarnationTracker
		l.NoteListed(t0, fleet.Incarnation{ID: "i-1"})
		l.End(t0)
		l.NoteReported(fleet.Incarnation{ID: "i-1"})
		assert.Equal(t, l.Current(), core.HostName("i-1"))
	})
	t.Run("End without a current incarnation has no effect", func(t *testing.T) {
		var l fleet.IncarnationTracker
		l.End(t0)
		assert.Equal(t, len(l.Ended(t0)), 0)
	})
	t.Run("the number of ended ones is bounded", func(t *testing.T) {
		var l fleet.IncarnationTracker
		for i := range 20 {
			l.NoteListed(t0, fleet.Incarnation{ID: core.HostName(rune('a' + i))})
			l.End(t0)
		}
		assert.Equal(t, len(l.Ended(t0)), 8)
	})
}

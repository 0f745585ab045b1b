package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/replic"
)

// stepClock is a clock that a test sets.
type stepClock struct{ now time.Time }

// Now implements core.Clock.
func (c *stepClock) Now() time.Time { return c.now }

// lagging is a store that is told of versions that others have.
type lagging struct {
	*Store
	clock *stepClock
	told  []Lag
}

func makeLagging() *lagging {
	l := &lagging{clock: &stepClock{now: time.Unix(1000, 0)}}
	l.Store = &Store{Kinds: []core.Kind{core.KindModel}, Clock: l.clock, Behind: func(lag Lag) { l.told = append(l.told, lag) }}
	l.init()
	return l
}

// named has a peer name a version after a time.
func (l *lagging) named(after time.Duration, v core.Version) {
	l.clock.now = l.clock.now.Add(after)
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[core.KindModel]
	k.lag.name(v, k.Newest(), l.clock.now)
	l.noteLag(core.KindModel, k)
}

func (l *lagging) got(v core.Version) {
	l.join(core.KindModel, replic.Delta{Objects: []core.Object{{Kind: core.KindModel, Name: "qalam", Version: v}}})
}

func TestLag(t *testing.T) {
	t.Run("a change that comes soon is not told", func(t *testing.T) {
		l := makeLagging()
		l.named(0, 5)
		l.named(lagTime/2, 5)
		l.got(5)
		assert.Equal(t, len(l.told), 0)
		assert.Equal(t, l.Lag(core.KindModel), time.Duration(0))
	})
	t.Run("one that is late is told once, and again when it is there", func(t *testing.T) {
		l := makeLagging()
		l.named(0, 5)
		l.named(lagTime, 5)
		l.named(lagTime, 6)
		assert.Equal(t, l.Lag(core.KindModel), 2*lagTime)
		l.got(5)
		assert.Equal(t, len(l.told), 2)
		assert.Assert(t, !l.told[0].Over && l.told[1].Over)
		assert.Equal(t, l.told[1].Named, core.Version(5))
	})
	t.Run("a replica that is always one change behind is not late", func(t *testing.T) {
		l := makeLagging()
		for v := range core.Version(10) {
			l.named(lagTime/2, v+2)
			l.got(v + 1)
		}
		assert.Equal(t, len(l.told), 0)
	})
}

package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/replic"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Time }

// Now implements core.Clock.
func (c *manualClock) Now() time.Time { return c.now }

// lagFixture is a store to which tests report the versions of other processes.
type lagFixture struct {
	*Store
	clock   *manualClock
	reports []Lag
}

func newLagFixture() *lagFixture {
	l := &lagFixture{clock: &manualClock{now: time.Unix(1000, 0)}}
	l.Store = &Store{Kinds: []core.Kind{core.KindModel}, Clock: l.clock, OnLag: func(lag Lag) { l.reports = append(l.reports, lag) }}
	l.init()
	return l
}

// observe has a peer report a version after some time.
func (l *lagFixture) observe(after time.Duration, v core.Version) {
	l.clock.now = l.clock.now.Add(after)
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[core.KindModel]
	k.lag.observe(v, k.Newest(), l.clock.now)
	l.updateLag(core.KindModel, k)
}

// receive joins a version of the object.
func (l *lagFixture) receive(v core.Version) {
	l.join(core.KindModel, replic.Delta{Objects: []core.Object{{Kind: core.KindModel, Name: "qalam", Version: v}}}, Arrival{})
}

func TestLag(t *testing.T) {
	t.Run("a change that arrives soon is not reported", func(t *testing.T) {
		l := newLagFixture()
		l.observe(0, 5)
		l.observe(lagThreshold/2, 5)
		l.receive(5)
		assert.Equal(t, len(l.reports), 0)
		assert.Equal(t, l.Lag(core.KindModel), time.Duration(0))
	})
	t.Run("a late change is reported once, and again when it arrives", func(t *testing.T) {
		l := newLagFixture()
		l.observe(0, 5)
		l.observe(lagThreshold, 5)
		l.observe(lagThreshold, 6)
		assert.Equal(t, l.Lag(core.KindModel), 2*lagThreshold)
		l.receive(5)
		assert.Equal(t, len(l.reports), 2)
		assert.Assert(t, !l.reports[0].CaughtUp && l.reports[1].CaughtUp)
		assert.Equal(t, l.reports[1].Missing, core.Version(5))
	})
	t.Run("a replica that is always one change behind is not reported", func(t *testing.T) {
		l := newLagFixture()
		for v := range core.Version(10) {
			l.observe(lagThreshold/2, v+2)
			l.receive(v + 1)
		}
		assert.Equal(t, len(l.reports), 0)
	})
}

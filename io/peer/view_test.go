package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/replic"
	"radishwell/wire"
)

func targets(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i].Host = core.HostName(fmt.Sprintf("host-%d", i))
	}
	return list
}

func TestPeerView(t *testing.T) {
	now := time.Unix(1_000, 0)
	fresh := func() *peerView { return &peerView{rand: rand.New(rand.NewPCG(1, 2))} }
	t.Run("few peers are all held", func(t *testing.T) {
		v := fresh()
		v.update(targets(3), now)
		assert.Equal(t, len(v.pick(8)), 3)
	})
	t.Run("a peer that does not answer is replaced", func(t *testing.T) {
		v := fresh()
		v.update(targets(100), now)
		lost := v.held[0]
		v.drop(lost)
		assert.Equal(t, len(v.held), viewSize-1)
		v.update(targets(100), now)
		assert.Equal(t, len(v.held), viewSize)
	})
	t.Run("a peer no longer listed is dropped", func(t *testing.T) {
		v := fresh()
		v.update(targets(100), now)
		v.update(targets(10), now)
		for _, p := range v.held {
			assert.Assert(t, slices.Contains(targets(10), p))
		}
	})
	t.Run("all peers get their turn", func(t *testing.T) {
		v := fresh()
		met := map[Target]bool{}
		for i := range 400 {
			v.update(targets(30), now.Add(time.Duration(i)*rotatePeriod))
			for _, p := range v.held {
				met[p] = true
			}
		}
		assert.Equal(t, len(met), 30)
	})
}

// stored returns a store that knows n peers and is not running.
func stored(clock core.Clock, n int) *Store {
	s := &Store{Self: Target{Host: "self"}, Kinds: []core.Kind{core.KindModel}, Clock: clock}
	s.init()
	s.peers.update(targets(n), clock.Now())
	return s
}

type fakeClock struct{ at time.Time }

func (c *fakeClock) Now() time.Time { return c.at }

// TestWatchers: the platform's calls must not grow with the fleet, so that the
// same few processes must think themselves watchers of a kind, whoever asks.
func TestWatchers(t *testing.T) {
	clock := &fakeClock{at: time.Unix(1_000, 0)}
	all := targets(500)
	watchers := 0
	for i := range all {
		s := &Store{Self: all[i], Kinds: []core.Kind{core.KindModel}, Clock: clock}
		s.init()
		s.peers.update(slices.Delete(slices.Clone(all), i, i+1), clock.at)
		f := &feed{Store: s, kind: core.KindModel}
		if f.watcher() {
			watchers++
		}
	}
	assert.Equal(t, watchers, defaultWatchers)
}

// TestWatchersLost: all watchers of the models are in a data centre that is
// lost. An operator's edit would reach nobody. The others must notice that no
// word comes from the platform and watch themselves, and not while it comes.
func TestWatchersLost(t *testing.T) {
	clock := &fakeClock{at: time.Unix(1_000, 0)}
	s := stored(clock, 500)
	f := &feed{Store: s, kind: core.KindModel}
	assert.Assert(t, !f.watcher(), "the test needs one that is no watcher")
	assert.Assert(t, f.needed(clock.at), "nothing there at all")

	s.join(core.KindModel, replic.Delta{Full: true, Through: 5})
	word := func(version uint64, age time.Duration) {
		s.refresh([]*wire.Through{{Kind: string(core.KindModel), Version: version, Age: int64(age)}})
	}
	word(5, time.Second)
	assert.Assert(t, !f.needed(clock.at))
	clock.at = clock.at.Add(2 * patience)
	assert.Assert(t, f.needed(clock.at), "no word for long")
	word(6, 0)
	assert.Assert(t, f.needed(clock.at), "word of a state that is not held here")
	word(5, 0)
	assert.Assert(t, !f.needed(clock.at))
}

func TestConfirm(t *testing.T) {
	clock := &fakeClock{at: time.Unix(1_000, 0)}
	s := stored(clock, 500)
	s.Confirm = []core.Kind{core.KindModel}
	f := &feed{Store: s, kind: core.KindModel}
	s.join(core.KindModel, replic.Delta{Full: true, Through: 5})
	s.refresh([]*wire.Through{{Kind: string(core.KindModel), Version: 5}})
	assert.Assert(t, f.needed(clock.at), "peers' word is not the platform's")
	f.hear(replic.Delta{Full: true, Through: 4})
	assert.Assert(t, s.Confirmed(core.KindModel))
	assert.Assert(t, !f.needed(clock.at))
}

func TestMarks(t *testing.T) {
	now := time.Unix(1_000, 0)
	mark := Mark{Host: "qalam-1", Kind: MarkSlow, Incarnation: 1, Expires: now.Add(time.Minute)}
	later := func(m Mark, d time.Duration) Mark { m.Expires = m.Expires.Add(d); return m }
	t.Run("news are told once", func(t *testing.T) {
		var s softState
		assert.Equal(t, len(s.add([]Mark{mark}, now)), 1)
		assert.Equal(t, len(s.add([]Mark{mark}, now)), 0)
		assert.Equal(t, len(s.add([]Mark{later(mark, extension/2)}, now)), 0)
		assert.Equal(t, len(s.add([]Mark{later(mark, 2*extension)}, now)), 1)
	})
	t.Run("an older copy shortens nothing", func(t *testing.T) {
		var s softState
		s.add([]Mark{later(mark, time.Second)}, now)
		s.add([]Mark{mark}, now)
		assert.Equal(t, len(s.list(now.Add(time.Minute))), 1)
		assert.Equal(t, len(s.list(now.Add(time.Minute+time.Second))), 0)
	})
	t.Run("a wrong clock keeps no host out for ever", func(t *testing.T) {
		var s softState
		s.add([]Mark{later(mark, 24*time.Hour)}, now)
		assert.Equal(t, len(s.list(now.Add(maxMarkAge))), 0)
	})
	t.Run("a message is bounded and all get their turn", func(t *testing.T) {
		var s softState
		var marks []Mark
		for i := range 213 {
			m := mark
			m.Incarnation = core.Incarnation(i + 1)
			marks = append(marks, m)
		}
		s.add(marks, now)
		assert.Equal(t, len(s.tell(now)), maxYoung+maxOld)
		told := map[core.Incarnation]bool{}
		for range 213/maxOld + 1 {
			for _, m := range s.tell(now.Add(youngTime)) {
				told[m.Incarnation] = true
			}
		}
		assert.Equal(t, len(told), 213)
	})
	t.Run("bounded", func(t *testing.T) {
		var s softState
		var marks []Mark
		for i := range maxMarks + 10 {
			m := later(mark, time.Duration(i)*time.Millisecond)
			m.Incarnation = core.Incarnation(i + 1)
			marks = append(marks, m)
		}
		s.add(marks, now)
		left := s.list(now)
		assert.Equal(t, len(left), maxMarks)
		assert.Equal(t, left[0].Incarnation, core.Incarnation(11))
	})
}

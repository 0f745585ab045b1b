package peer

import (
	"context"
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
	idle := func(Target) bool { return false }
	newView := func() *peerView { return &peerView{rand: rand.New(rand.NewPCG(1, 2))} }
	t.Run("few peers are all active", func(t *testing.T) {
		v := newView()
		v.update(targets(3), now)
		assert.Equal(t, len(v.pick(8, idle)), 3)
	})
	t.Run("a peer that does not respond is replaced", func(t *testing.T) {
		v := newView()
		v.update(targets(100), now)
		lost := v.active[0]
		v.drop(lost, now)
		assert.Equal(t, len(v.active), viewSize-1)
		v.update(targets(100), now)
		assert.Equal(t, len(v.active), viewSize)
	})
	t.Run("a peer that does not respond is not chosen again soon", func(t *testing.T) {
		v := newView()
		v.update(targets(viewSize+1), now)
		lost := v.active[0]
		v.drop(lost, now)
		for range 20 {
			v.update(targets(viewSize+1), now)
			assert.Assert(t, !slices.Contains(v.active, lost))
		}
		v.evictRandom()
		v.update(targets(viewSize+1), now.Add(avoidTime))
		assert.Equal(t, len(v.avoided), 0)
	})
	t.Run("busy peers are passed over", func(t *testing.T) {
		v := newView()
		v.update(targets(100), now)
		busy := slices.Clone(v.active)
		picked := v.pick(2, func(p Target) bool { return slices.Contains(busy, p) })
		assert.Equal(t, len(picked), 2)
		for _, p := range picked {
			assert.Assert(t, !slices.Contains(busy, p))
		}
	})
	t.Run("a peer no longer listed is dropped", func(t *testing.T) {
		v := newView()
		v.update(targets(100), now)
		v.update(targets(10), now)
		for _, p := range v.active {
			assert.Assert(t, slices.Contains(targets(10), p))
		}
	})
	t.Run("all peers become active in turn", func(t *testing.T) {
		v := newView()
		seen := map[Target]bool{}
		for i := range 400 {
			v.update(targets(30), now.Add(time.Duration(i)*rotatePeriod))
			for _, p := range v.active {
				seen[p] = true
			}
		}
		assert.Equal(t, len(seen), 30)
	})
}

// newIdleStore returns a store that knows n peers and is not running.
func newIdleStore(clock core.Clock, n int) *Store {
	s := &Store{Self: Target{Host: "self"}, Kinds: []core.Kind{core.KindModel}, Clock: clock}
	s.init()
	s.peers.update(targets(n), clock.Now())
	return s
}

type settableClock struct{ at time.Time }

func (c *settableClock) Now() time.Time { return c.at }

// TestWatchers: the platform's calls must not grow with the fleet, so each process must
// derive the same few watchers of a kind.
func TestWatchers(t *testing.T) {
	clock := &settableClock{at: time.Unix(1_000, 0)}
	all := targets(500)
	watchers := 0
	for i := range all {
		s := &Store{Self: all[i], Kinds: []core.Kind{core.KindModel}, Clock: clock}
		s.init()
		s.peers.update(slices.Delete(slices.Clone(all), i, i+1), clock.at)
		r := &reflector{Store: s, kind: core.KindModel}
		if r.isWatcher() {
			watchers++
		}
	}
	assert.Equal(t, watchers, defaultWatchers)
}

// TestWatchersLost: all watchers of the models are in a data centre that is lost, so an
// edit would reach no other process. The others must notice that the platform's
// confirmations stop, and watch themselves for as long as they do.
func TestWatchersLost(t *testing.T) {
	clock := &settableClock{at: time.Unix(1_000, 0)}
	s := newIdleStore(clock, 500)
	r := &reflector{Store: s, kind: core.KindModel}
	assert.Assert(t, !r.isWatcher(), "the test needs a process that is not a watcher")
	assert.Assert(t, r.needed(clock.at), "the replica is empty")

	s.join(core.KindModel, replic.Delta{Full: true, Through: 5}, Arrival{})
	joinDigest := func(version uint64, age time.Duration) {
		s.joinDigest([]*wire.Through{{Kind: string(core.KindModel), Version: version, Age: int64(age)}}, clock.at)
	}
	joinDigest(5, time.Second)
	assert.Assert(t, !r.needed(clock.at))
	clock.at = clock.at.Add(2 * defaultFallbackDelay)
	assert.Assert(t, r.needed(clock.at), "the replica has not been confirmed for long")
	joinDigest(6, 0)
	assert.Assert(t, r.needed(clock.at), "the confirmed version is not held here")
	joinDigest(5, 0)
	assert.Assert(t, !r.needed(clock.at))
}

func TestConfirm(t *testing.T) {
	clock := &settableClock{at: time.Unix(1_000, 0)}
	s := newIdleStore(clock, 500)
	s.Confirm = []core.Kind{core.KindModel}
	r := &reflector{Store: s, kind: core.KindModel}
	s.join(core.KindModel, replic.Delta{Full: true, Through: 5}, Arrival{})
	s.joinDigest([]*wire.Through{{Kind: string(core.KindModel), Version: 5}}, clock.at)
	assert.Assert(t, r.needed(clock.at), "a peer's copy is not a confirmation by the platform")
	r.apply(replic.Delta{Full: true, Through: 4}, clock.at)
	assert.Assert(t, s.Confirmed(core.KindModel))
	assert.Assert(t, !r.needed(clock.at))
}

func TestMarks(t *testing.T) {
	now := time.Unix(1_000, 0)
	mark := Mark{Host: "qalam-1", Kind: MarkSlow, Incarnation: 1, Expires: now.Add(time.Minute)}
	later := func(m Mark, d time.Duration) Mark { m.Expires = m.Expires.Add(d); return m }
	t.Run("a changed mark is reported once", func(t *testing.T) {
		var s softState
		assert.Equal(t, len(s.add([]Mark{mark}, now)), 1)
		assert.Equal(t, len(s.add([]Mark{mark}, now)), 0)
		assert.Equal(t, len(s.add([]Mark{later(mark, minExtension/2)}, now)), 0)
		assert.Equal(t, len(s.add([]Mark{later(mark, 2*minExtension)}, now)), 1)
	})
	t.Run("an older copy does not shorten a mark", func(t *testing.T) {
		var s softState
		s.add([]Mark{later(mark, time.Second)}, now)
		s.add([]Mark{mark}, now)
		assert.Equal(t, len(s.list(now.Add(time.Minute))), 1)
		assert.Equal(t, len(s.list(now.Add(time.Minute+time.Second))), 0)
	})
	t.Run("a wrong clock excludes no host for ever", func(t *testing.T) {
		var s softState
		s.add([]Mark{later(mark, 24*time.Hour)}, now)
		assert.Equal(t, len(s.list(now.Add(maxMarkAge))), 0)
	})
	t.Run("messages are bounded and include all marks in turn", func(t *testing.T) {
		var s softState
		var marks []Mark
		for i := range 213 {
			m := mark
			m.Incarnation = core.Incarnation(i + 1)
			marks = append(marks, m)
		}
		s.add(marks, now)
		assert.Equal(t, len(s.nextMarks(now)), maxRecentMarks+maxRepeatedMarks)
		sent := map[core.Incarnation]bool{}
		for range 213/maxRepeatedMarks + 1 {
			for _, m := range s.nextMarks(now.Add(recentTime)) {
				sent[m.Incarnation] = true
			}
		}
		assert.Equal(t, len(sent), 213)
	})
	t.Run("the number of marks is bounded", func(t *testing.T) {
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

// Guards against a list or a peer's reply that takes long and makes an old confirmation by the
// platform look new.
func TestConfirmationIsAsOldAsItsCall(t *testing.T) {
	clock := &settableClock{at: time.Unix(1_000, 0)}
	s := newIdleStore(clock, 1)
	r := &reflector{Store: s, kind: core.KindModel}
	wantFresh := func(at time.Time) {
		t.Helper()
		assert.Equal(t, s.Status(core.KindModel).FreshAt, at)
	}
	began := clock.at
	clock.at = clock.at.Add(3 * time.Second)
	r.apply(replic.Delta{Full: true, Through: 5}, began)
	wantFresh(began)
	digest := []*wire.Through{{Kind: string(core.KindModel), Version: 5, Age: int64(500 * time.Millisecond)}}
	s.joinDigest(digest, began.Add(time.Second))
	wantFresh(began.Add(500 * time.Millisecond))
	s.joinDigest(digest, began)
	wantFresh(began.Add(500 * time.Millisecond))
}

// laggingPlatform lists a state from before the replica's.
type laggingPlatform struct{ core.Platform }

// List implements core.Platform.
func (laggingPlatform) List(context.Context, core.Kind) (core.Listing, error) {
	return core.Listing{Version: 3}, nil
}

// Watch implements core.Platform.
func (laggingPlatform) Watch(context.Context, core.Kind, core.Version) (core.Watch, error) {
	return nil, &core.PlatformError{Fault: core.Unavailable}
}

// TestOlderListConfirmsNothing: a platform that lists old states must not keep a process from
// watching itself, nor have it call unknown what a newer table has.
func TestOlderListConfirmsNothing(t *testing.T) {
	clock := &settableClock{at: time.Unix(1_000, 0)}
	s := newIdleStore(clock, 500)
	s.Platform = laggingPlatform{}
	s.join(core.KindModel, replic.Delta{Full: true, Through: 5}, Arrival{})
	r := &reflector{Store: s, kind: core.KindModel, relist: true}
	_ = r.run(t.Context()) // the watch fails
	assert.Assert(t, s.Status(core.KindModel).FreshAt.IsZero())
}

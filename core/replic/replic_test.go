package replic

import (
	"flag"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// schedules is the number of random schedules in the property test. The seeds are 0 and up,
// so runs with the same number are identical.
var schedules = flag.Uint64("schedules", 80, "random schedules to run")

// TestAnyOrderConverges runs random schedules of commits, lists, watch events and peers'
// deltas. Deltas are duplicated, delayed and reordered. No version may decrease at any
// step, and at the end all replicas must have the state of the reference history.
func TestAnyOrderConverges(t *testing.T) {
	for seed := range *schedules {
		r := rand.New(rand.NewPCG(seed, 1))
		runSchedule(t, r, 120, seed%2 == 0)
	}
}

// runSchedule runs one schedule. Without lists the replicas' horizons stay low, so that the
// result depends on the dropped tombstones.
func runSchedule(t *testing.T, r *rand.Rand, steps int, lists bool) {
	t.Helper()
	h := makeHistory()
	replicas := make([]*checkedReplica, 3)
	for i := range replicas {
		replicas[i] = &checkedReplica{seen: map[string]core.Version{}, live: map[string]core.Object{}}
		replicas[i].Tombstones = 2
	}
	var late []Delta
	for range steps {
		w := replicas[r.IntN(len(replicas))]
		switch r.IntN(8) {
		case 0, 1, 2:
			h.random(r)
		case 3:
			if lists {
				late = append(late, h.list(core.Version(r.IntN(int(h.version())+1))))
			}
		case 4:
			if next := w.Through() + 1; next <= h.version() {
				late = append(late, h.event(next))
			}
		case 5:
			if v := h.version(); v > 0 {
				late = append(late, h.event(core.Version(r.IntN(int(v))+1)))
			}
		default:
			peer := replicas[r.IntN(len(replicas))]
			late = append(late, peer.Since(w.Through()))
		}
		if len(late) > 0 && r.IntN(3) > 0 {
			w.join(t, h, late[r.IntN(len(late))])
		}
	}
	finish(t, h, replicas, late)
}

// finish delivers all deltas once more. Then one replica reads the platform and the others
// read from it.
func finish(t *testing.T, h *history, replicas []*checkedReplica, late []Delta) {
	t.Helper()
	for _, w := range replicas {
		for _, d := range late {
			w.join(t, h, d)
		}
	}
	first := replicas[0]
	first.join(t, h, h.list(h.version()))
	for _, w := range replicas {
		w.join(t, h, first.Since(w.Through()))
		assert.Equal(t, w.Through(), h.version())
		w.checkEqual(t, h)
	}
}

// Guards against a deleted object that a peer restores. An entry sees the deletion of an
// adapter, then so many others that its tombstone is dropped. A peer that was disconnected
// in the meantime returns and sends the adapter. The entry must not add it again, and
// callers must still be refused.
func TestLatePeerRevivesNothing(t *testing.T) {
	h := makeHistory()
	h.commit("adapter", false)
	late := (&Replica{}).Since(0)
	late.Objects = []core.Object{h.events[0]}
	h.commit("adapter", true)
	r := Replica{Tombstones: 1}
	for _, name := range []string{"b", "c", "d"} {
		h.commit(name, false)
		h.commit(name, true)
	}
	for v := core.Version(1); v <= h.version(); v++ {
		r.Join(h.event(v))
	}
	_, kept := r.byName["adapter"]
	assert.Assert(t, !kept, "the tombstone must have been dropped for this test")
	assert.Equal(t, len(r.Join(late)), 0)
	_, ok := r.Get("adapter")
	assert.Assert(t, !ok)
}

// Guards against a deletion that a peer never learns of. A peer returns after a long pause
// and still has an object whose tombstone its neighbour has dropped.
func TestPeerBehindHorizon(t *testing.T) {
	h := makeHistory()
	h.commit("adapter", false)
	var paused Replica
	paused.Join(h.event(1))
	h.commit("adapter", true)
	h.commit("model", false)
	var other Replica
	other.Join(h.list(3))

	d := other.Since(paused.Through())
	assert.Assert(t, d.Full)
	changes := paused.Join(d)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, changes[0].Name == "adapter" && changes[0].Deleted)
	assert.Equal(t, paused.Through(), core.Version(3))
}

// Guards against the same as TestPeerBehindHorizon, with a neighbour that has seen every
// deletion and has dropped the tombstones since.
func TestPeerBehindTombstones(t *testing.T) {
	h := makeHistory()
	h.commit("adapter", false)
	var paused Replica
	paused.Join(h.event(1))
	h.commit("adapter", true)
	other := Replica{Tombstones: 1}
	for _, name := range []string{"b", "c"} {
		h.commit(name, false)
		h.commit(name, true)
	}
	for v := core.Version(1); v <= h.version(); v++ {
		other.Join(h.event(v))
	}
	paused.Join(other.Since(paused.Through()))
	assert.Equal(t, paused.Len(), 0)
	assert.Equal(t, paused.Through(), h.version())
	assert.Assert(t, !other.Since(h.version()-1).Full, "the latest tombstone is kept")
}

// Guards against a late watch event that restores a deleted object. While an entry's watch
// is stalled, an adapter is deleted, created again and deleted again, and the entry
// relists. Then the stalled connection delivers the second creation. Callers must still be
// refused, though the entry's tombstone is of the first deletion.
func TestLateEventBelowMark(t *testing.T) {
	h := makeHistory()
	for range 2 {
		h.commit("adapter", false)
		h.commit("adapter", true)
	}
	var r Replica
	r.Join(h.event(1))
	r.Join(h.event(2))
	r.Join(h.list(4))
	assert.Equal(t, len(r.Join(h.event(3))), 0)
	assert.Equal(t, r.Len(), 0)
}

func TestJoin(t *testing.T) {
	h := makeHistory()
	h.commit("a", false)
	h.commit("a", false)
	h.commit("a", true)
	h.commit("a", false)

	t.Run("an event out of sequence does not move the mark", func(t *testing.T) {
		var r Replica
		assert.Equal(t, len(r.Join(h.event(2))), 1)
		assert.Equal(t, r.Through(), core.Version(0))
		assert.Equal(t, len(r.Join(h.event(1))), 0)
		assert.Equal(t, r.Through(), core.Version(1))
	})
	t.Run("created again after a deletion", func(t *testing.T) {
		var r Replica
		r.Join(h.event(4))
		assert.Equal(t, len(r.Join(h.event(3))), 0)
		_, ok := r.Get("a")
		assert.Assert(t, ok)
	})
	t.Run("a bookmark moves the mark only if it connects to it", func(t *testing.T) {
		var r Replica
		r.Join(WatchDelta(5, core.Change{Object: core.Object{Version: 9}, Bookmark: true}))
		assert.Equal(t, r.Through(), core.Version(0))
		r.Join(WatchDelta(0, core.Change{Object: core.Object{Version: 9}, Bookmark: true}))
		assert.Equal(t, r.Through(), core.Version(9))
	})
	t.Run("an older list deletes nothing", func(t *testing.T) {
		var r Replica
		r.Join(h.list(4))
		assert.Equal(t, len(r.Join(h.list(3))), 0)
		assert.Equal(t, r.Len(), 1)
	})
	t.Run("up to date is empty", func(t *testing.T) {
		var r Replica
		r.Join(h.list(4))
		assert.Assert(t, r.Since(4).Empty())
		assert.Assert(t, !r.Since(0).Empty())
	})
}

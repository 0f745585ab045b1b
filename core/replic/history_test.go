package replic

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// history is the reference implementation, which keeps the complete state at every version.
type history struct {
	states []map[string]core.Object
	events []core.Object
}

func makeHistory() *history { return &history{states: []map[string]core.Object{{}}} }

func (h *history) version() core.Version { return core.Version(len(h.states) - 1) }

// commit appends a change of one name.
func (h *history) commit(name string, deleted bool) {
	next := map[string]core.Object{}
	for k, o := range h.states[len(h.states)-1] {
		next[k] = o
	}
	v := core.Version(len(h.states))
	o := core.Object{Kind: core.KindModel, Name: name, Version: v, Spec: fmt.Appendf(nil, "%s@%d", name, v)}
	if deleted {
		o.Spec, o.Deleted = nil, true
		delete(next, name)
	} else {
		next[name] = o
	}
	h.states = append(h.states, next)
	h.events = append(h.events, o)
}

// random commits a random change that is valid in the current state.
func (h *history) random(r *rand.Rand) {
	name := string(rune('a' + r.IntN(6)))
	_, live := h.states[h.version()][name]
	h.commit(name, live && r.IntN(2) == 0)
}

func (h *history) list(v core.Version) Delta {
	l := core.Listing{Version: v}
	for _, o := range h.states[v] {
		l.Objects = append(l.Objects, o)
	}
	return ListDelta(l)
}

// event returns the watch event that created version v.
func (h *history) event(v core.Version) Delta {
	return WatchDelta(v-1, core.Change{Object: h.events[v-1]})
}

// checkedReplica is a replica with the state that a subscriber has derived from its
// changes.
type checkedReplica struct {
	Replica
	seen map[string]core.Version
	live map[string]core.Object
}

// join merges a delta and checks the invariants that must hold after any delta.
func (w *checkedReplica) join(t *testing.T, h *history, d Delta) {
	t.Helper()
	through := w.Through()
	for _, o := range w.Join(d) {
		assert.Assert(t, o.Version > w.seen[o.Name], "%s went back from %d to %d", o.Name, w.seen[o.Name], o.Version)
		w.seen[o.Name] = o.Version
		w.live[o.Name] = o
		if o.Deleted {
			delete(w.live, o.Name)
		}
	}
	assert.Assert(t, w.Through() >= through)
	assert.Assert(t, w.tombstoneCount <= w.Tombstones || w.newest > w.Through())
	w.checkChanges(t)
	w.checkState(t, h)
}

// checkChanges checks that a subscriber that applies the returned changes has the same
// state as the replica.
func (w *checkedReplica) checkChanges(t *testing.T) {
	t.Helper()
	all := w.All()
	assert.Equal(t, len(all), len(w.live))
	assert.Equal(t, len(all), w.Len())
	for _, o := range all {
		assert.Equal(t, w.live[o.Name].Version, o.Version)
	}
}

// checkState checks that every object of the replica was once committed and that none is
// missing at the through mark.
func (w *checkedReplica) checkState(t *testing.T, h *history) {
	t.Helper()
	for _, o := range w.All() {
		want := h.events[o.Version-1]
		assert.Assert(t, want.Name == o.Name && bytes.Equal(want.Spec, o.Spec))
		_, there := h.states[w.Through()][o.Name]
		assert.Assert(t, there || o.Version > w.Through(), "%s@%d is deleted at %d", o.Name, o.Version, w.Through())
	}
	for name, want := range h.states[w.Through()] {
		held, ok := w.byName[name]
		assert.Assert(t, ok && held.Version >= want.Version, "%s@%d missing at %d", name, want.Version, w.Through())
	}
}

// checkEqual checks that the replica has exactly the state at its through mark.
func (w *checkedReplica) checkEqual(t *testing.T, h *history) {
	t.Helper()
	state := h.states[w.Through()]
	assert.Equal(t, w.Len(), len(state))
	for name, want := range state {
		got, ok := w.Get(name)
		assert.Assert(t, ok && got.Version == want.Version)
	}
}

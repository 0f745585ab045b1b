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
func (c *checkedReplica) join(t *testing.T, h *history, d Delta) {
	t.Helper()
	through := c.Through()
	for _, o := range c.Join(d) {
		assert.Assert(t, o.Version > c.seen[o.Name], "%s went back from %d to %d", o.Name, c.seen[o.Name], o.Version)
		c.seen[o.Name] = o.Version
		c.live[o.Name] = o
		if o.Deleted {
			delete(c.live, o.Name)
		}
	}
	assert.Assert(t, c.Through() >= through)
	assert.Assert(t, c.tombstoneCount <= c.Tombstones || c.newest > c.Through())
	c.checkChanges(t)
	c.checkState(t, h)
}

// checkChanges checks that a subscriber that applies the returned changes has the same
// state as the replica.
func (c *checkedReplica) checkChanges(t *testing.T) {
	t.Helper()
	all := c.All()
	assert.Equal(t, len(all), len(c.live))
	assert.Equal(t, len(all), c.Len())
	for _, o := range all {
		assert.Equal(t, c.live[o.Name].Version, o.Version)
	}
}

// checkState checks that every object of the replica was once committed and that none is
// missing at the through mark.
func (c *checkedReplica) checkState(t *testing.T, h *history) {
	t.Helper()
	for _, o := range c.All() {
		want := h.events[o.Version-1]
		assert.Assert(t, want.Name == o.Name && bytes.Equal(want.Spec, o.Spec))
		_, live := h.states[c.Through()][o.Name]
		assert.Assert(t, live || o.Version > c.Through(), "%s@%d is deleted at %d", o.Name, o.Version, c.Through())
	}
	for name, want := range h.states[c.Through()] {
		held, ok := c.byName[name]
		assert.Assert(t, ok && held.Version >= want.Version, "%s@%d missing at %d", name, want.Version, c.Through())
	}
}

// checkEqual checks that the replica has exactly the state at its through mark.
func (c *checkedReplica) checkEqual(t *testing.T, h *history) {
	t.Helper()
	state := h.states[c.Through()]
	assert.Equal(t, c.Len(), len(state))
	for name, want := range state {
		got, ok := c.Get(name)
		assert.Assert(t, ok && got.Version == want.Version)
	}
}

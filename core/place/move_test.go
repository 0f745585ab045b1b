package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/place"
)

func setDemand(f *fleet, demand float64) {
	f.planner.SetDemand(f.now, "m1", demand)
	f.settle()
	f.releaseRevoked()
	f.settle()
}

// One model gets a burst, then demand swings for an hour and ends. Grants must
// follow the burst at once, must not follow the swings, and must be revoked slowly
// after the demand has ended.
func TestDemand(t *testing.T) {
	f := newFleet(t, hosts(9)...)
	f.setModel("m1", 6)
	f.settle()
	f.assertHolders("m1", 2, 0)
	t.Run("a burst raises the holders at once, up to the limit", func(t *testing.T) {
		setDemand(f, 3.1)
		f.assertHolders("m1", 4, 0)
		setDemand(f, 40)
		f.assertHolders("m1", 6, 0)
	})
	t.Run("swings by a third move nothing", func(t *testing.T) {
		setDemand(f, 4)
		before := f.writes
		for i := range 60 {
			f.now = f.now.Add(time.Minute)
			setDemand(f, 4+float64(i%2)*1.3)
		}
		assert.Equal(t, f.writes, before)
	})
	t.Run("a short lull moves nothing", func(t *testing.T) {
		before := f.writes
		setDemand(f, 0)
		f.now = f.now.Add(place.LowerDelay - time.Second)
		setDemand(f, 0)
		setDemand(f, 4)
		f.now = f.now.Add(place.LowerDelay)
		setDemand(f, 4)
		assert.Equal(t, f.writes, before)
	})
	t.Run("a long lull revokes one grant at a time", func(t *testing.T) {
		setDemand(f, 0)
		for want := 5; want >= 2; want-- {
			f.now = f.now.Add(place.LowerDelay)
			setDemand(f, 0)
			f.assertHolders("m1", want, 0)
		}
		f.now = f.now.Add(time.Hour)
		setDemand(f, 0)
		f.assertHolders("m1", 2, 0)
	})
}

// A decider crashes while demand is high. Its successor does not know the demand yet
// and must not revoke any grant.
func TestTakeOverMovesNothing(t *testing.T) {
	f := newFleet(t, hosts(9)...)
	f.setModel("m1", 6)
	f.settle()
	setDemand(f, 4)
	next := &place.Planner{}
	for _, h := range hosts(9) {
		next.SetHost(h)
	}
	e := f.newEntry("m1", 6)
	e.Version = f.grants["m1"].Entry
	next.SetEntry(e)
	next.SetGrant("m1", f.grants["m1"], f.version)
	next.CatalogueListed()
	assert.Equal(t, len(next.Round(f.now, 8, 100)), 0)
}

// placeFromScratch decides all grants on a list of hosts and returns the pairs of
// model and host.
func placeFromScratch(t *testing.T, list []place.Host) map[string]bool {
	t.Helper()
	f := newFleet(t, list...)
	for i := range 300 {
		f.setModel(core.ModelName(fmt.Sprintf("m%03d", i)), 2)
	}
	f.settle()
	return activePairs(f)
}

func activePairs(f *fleet) map[string]bool {
	set := map[string]bool{}
	for name, spec := range f.grants {
		for _, h := range spec.Holders {
			if h.State == core.GrantActive {
				set[string(name)+" "+string(h.Host)] = true
			}
		}
	}
	return set
}

func movedFraction(a, b map[string]bool) float64 {
	n := 0
	for k := range a {
		if !b[k] {
			n++
		}
	}
	return float64(n) / float64(len(a))
}

// One host is added or lost, or one entry changes. Grants that are not affected
// must stay.
func TestLittleMoves(t *testing.T) {
	f := newFleet(t, hosts(30)...)
	for i := range 300 {
		f.setModel(core.ModelName(fmt.Sprintf("m%03d", i)), 3)
	}
	f.settle()
	before := activePairs(f)
	t.Run("a new host moves nothing", func(t *testing.T) {
		f.planner.SetHost(host(30))
		f.settle()
		assert.Equal(t, movedFraction(before, activePairs(f)), 0.0)
	})
	t.Run("a lost host moves only its own grants", func(t *testing.T) {
		f.setState("h07", core.HostGone)
		f.settle()
		moved := movedFraction(before, activePairs(f))
		t.Logf("one of 30 hosts lost: %.3f of grants moved", moved)
		assert.Assert(t, moved < 1.25*place.LoadBound/30)
	})
	t.Run("a changed entry moves only its own grants", func(t *testing.T) {
		now := activePairs(f)
		f.setModel("m007", 1)
		f.settle()
		assert.Assert(t, movedFraction(now, activePairs(f)) <= 2.0/600)
	})
	t.Run("deciding everything again with one more host moves few grants", func(t *testing.T) {
		moved := movedFraction(placeFromScratch(t, hosts(30)), placeFromScratch(t, hosts(31)))
		t.Logf("whole recomputation, 31 hosts in place of 30: %.3f moved", moved)
		assert.Assert(t, moved < 0.35)
	})
}

// The entries differ only in their names. No host may be granted much more than its share.
func TestLoadBound(t *testing.T) {
	f := newFleet(t, hosts(30)...)
	for i := range 300 {
		f.setModel(core.ModelName(fmt.Sprintf("m%03d", i)), 2)
	}
	f.settle()
	load := map[core.HostName]int{}
	most := 0
	for _, spec := range f.grants {
		for _, h := range spec.Holders {
			load[h.Host]++
			most = max(most, load[h.Host])
		}
	}
	t.Logf("at most %d grants on a host, 20 in the mean", most)
	assert.Assert(t, most <= int(20*place.LoadBound)+1)
}

// TestAgainstWholeRecomputation changes hosts, entries and demand at random. Once
// no more writes are needed, a new planner with the same state must find nothing
// to write, and each model must have as many holders as a naive count allows.
func TestAgainstWholeRecomputation(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		n := newNaive(t)
		for range 40 {
			n.randomChange(r)
			n.settleAll()
			n.compare(seed)
		}
	}
}

// naive has the whole state and computes each decision from it alone, without
// keeping track of changes.
type naive struct {
	*fleet
	hosts   map[int]place.Host
	entries map[core.ModelName]place.Entry
}

func newNaive(t *testing.T) *naive {
	return &naive{fleet: newFleet(t), hosts: map[int]place.Host{}, entries: map[core.ModelName]place.Entry{}}
}

func (n *naive) randomChange(r *rand.Rand) {
	switch r.IntN(4) {
	case 0:
		i := r.IntN(9)
		if h, ok := n.hosts[i]; ok && r.IntN(2) == 0 {
			n.planner.RemoveHost(place.HostID{Host: h.Name, UID: h.UID})
			delete(n.hosts, i)
			return
		}
		n.version++
		h := host(i)
		h.UID = fmt.Sprint(n.version)
		h.State = []core.HostState{core.HostLive, core.HostLive, core.HostLeaving}[r.IntN(3)]
		n.hosts[i] = h
		n.planner.SetHost(h)
	case 1, 2:
		e := n.newEntry(core.ModelName(fmt.Sprint("m", r.IntN(8))), r.IntN(5))
		e.Accelerators = r.IntN(3)
		n.setEntry(e)
	case 3:
		e := n.newEntry(core.ModelName(fmt.Sprint("a", r.IntN(8))), r.IntN(5))
		e.Base = core.ModelName(fmt.Sprint("m", r.IntN(8)))
		n.setEntry(e)
	}
}

// settleAll completes all writes, releases and moves for balance.
func (n *naive) settleAll() {
	n.t.Helper()
	for range 100 {
		before := n.writes
		n.settle()
		n.releaseRevoked()
		n.now = n.now.Add(place.MoveInterval)
		if n.settle(); n.writes == before {
			return
		}
	}
	n.t.Fatal("the planner still writes after 100 rounds")
}

func (n *naive) setEntry(e place.Entry) {
	n.entries[e.Name] = e
	n.planner.SetEntry(e)
}

// expectedHolders is the naive decision: as many holders as the limit, IdleHolders
// and the number of hosts that fit allow. For an adapter, the hosts that hold its
// base fit.
func (n *naive) expectedHolders(e place.Entry) int {
	fit := 0
	for _, h := range n.hosts {
		if h.State == core.HostLive && h.Accelerators >= max(e.Accelerators, 1) {
			fit++
		}
	}
	if e.Base != "" {
		fit = 0
		if b, ok := n.entries[e.Base]; ok {
			fit = n.expectedHolders(b)
		}
	}
	return min(max(e.Replicas, 1), place.IdleHolders, fit)
}

func (n *naive) compare(seed uint64) {
	n.t.Helper()
	whole := &place.Planner{}
	for _, h := range n.hosts {
		whole.SetHost(h)
	}
	for _, e := range n.entries {
		whole.SetEntry(e)
		n.assertHolders(e.Name, n.expectedHolders(e), 0)
	}
	for name, spec := range n.grants {
		whole.SetGrant(name, spec, n.version)
	}
	whole.CatalogueListed()
	writes := whole.Round(n.now, 7, 100)
	assert.Equal(n.t, len(writes), 0, "seed %d: the whole recomputation writes %v", seed, writes)
}

// Half of the hosts are lost and come back an hour later, empty. Models without
// demand must move to them, one at a time, until no host is overloaded. Models in
// demand must stay, and in the end nothing moves any more.
func TestBalance(t *testing.T) {
	f := newFleet(t, hosts(30)...)
	for i := range 100 {
		f.setModel(core.ModelName(fmt.Sprintf("m%03d", i)), 2)
	}
	f.setAdapter("a1", "m010", 2)
	f.settle()
	for i := range 15 {
		f.setState(host(i).Name, core.HostGone)
	}
	f.settle()
	f.planner.SetDemand(f.now, "m050", 0.5)
	busy := f.holders("m050")
	before := activePairs(f)
	for i := range 15 {
		h := host(i)
		h.UID = fmt.Sprint("again", i)
		f.planner.SetHost(h)
	}
	moves := 0
	for idleRounds := 0; idleRounds < 3; idleRounds++ {
		start := f.writes
		f.now = f.now.Add(place.MoveInterval)
		f.settle()
		f.releaseRevoked()
		f.settle()
		if f.writes > start {
			moves++
			idleRounds = 0
		}
		assert.Assert(t, moves < 200, "more than 200 moves")
	}
	most := 0
	load := map[core.HostName]int{}
	for _, spec := range f.grants {
		for _, h := range spec.Holders {
			load[h.Host]++
			most = max(most, load[h.Host])
		}
	}
	t.Logf("%d moves; %.2f of grants moved; at most %d on a host, 6.7 in the mean", moves, movedFraction(before, activePairs(f)), most)
	assert.Assert(t, most <= 10)
	assert.Equal(t, f.holders("m050"), busy)
	assert.Equal(t, f.holders("a1"), f.holders("m010"))
	for i := range 100 {
		f.assertHolders(core.ModelName(fmt.Sprintf("m%03d", i)), 2, 0)
	}
}

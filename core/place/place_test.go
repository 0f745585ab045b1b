package place_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/place"
)

var start = time.Date(2026, 1, 1, 20, 0, 0, 0, time.UTC)

// fleet is a planner with a platform that never fails, and with agents that
// release revoked holders when a test calls for it.
type fleet struct {
	t       *testing.T
	now     time.Time
	planner *place.Planner
	version core.Version
	grants  map[core.ModelName]core.GrantSpec
	writes  int
}

func newFleet(t *testing.T, hosts ...place.Host) *fleet {
	t.Helper()
	f := &fleet{t: t, now: start, planner: &place.Planner{}, grants: map[core.ModelName]core.GrantSpec{}}
	for _, h := range hosts {
		f.planner.SetHost(h)
	}
	f.planner.CatalogueListed()
	return f
}

// hosts returns n hosts over three data centres with two racks each.
func hosts(n int) []place.Host {
	var list []place.Host
	for i := range n {
		list = append(list, host(i))
	}
	return list
}

func host(i int) place.Host {
	return place.Host{
		Name: core.HostName(fmt.Sprintf("h%02d", i)), UID: fmt.Sprint("u", i), Service: "qalam",
		DataCentre: core.DataCentre([]string{"charguia", "lac-deux", "ariana"}[i%3]), Rack: fmt.Sprint(i / 3 % 2),
		Accelerators: 2, Memory: 80 * core.GiB, State: core.HostLive,
	}
}

func (f *fleet) newEntry(name core.ModelName, replicas int) place.Entry {
	f.version++
	return place.Entry{
		Name: name, Version: f.version, Owner: "nadi", Service: "qalam",
		Memory: 30 * core.GiB, Replicas: replicas,
	}
}

func (f *fleet) setModel(name core.ModelName, replicas int) {
	f.planner.SetEntry(f.newEntry(name, replicas))
}

func (f *fleet) setAdapter(name, base core.ModelName, replicas int) {
	e := f.newEntry(name, replicas)
	e.Base = base
	f.planner.SetEntry(e)
}

// round applies the writes of one round, one after the other.
func (f *fleet) round() []place.Write {
	f.t.Helper()
	writes := f.planner.Round(f.now, 7, 1000)
	for _, w := range writes {
		f.apply(w)
	}
	return writes
}

func (f *fleet) apply(w place.Write) {
	f.version++
	f.writes++
	f.grants[w.Name] = w.Spec
	f.planner.SetOutcome(w, place.Applied)
	f.planner.SetGrant(w.Name, w.Spec, f.version)
}

// settle applies rounds until nothing changes.
func (f *fleet) settle() {
	f.t.Helper()
	for range 50 {
		if len(f.round()) == 0 {
			return
		}
	}
	f.t.Fatal("the planner still writes after 50 rounds")
}

// releaseRevoked has all agents release their revoked models.
func (f *fleet) releaseRevoked() {
	for name, spec := range f.grants {
		for _, h := range spec.Holders {
			if released, ok := place.Release(f.grants[name], place.HostID{Host: h.Host, UID: h.UID}); ok {
				f.version++
				f.grants[name] = released
				f.planner.SetGrant(name, released, f.version)
			}
		}
	}
}

// holders returns a model's holders as text, with a minus after each revoked one.
func (f *fleet) holders(name core.ModelName) string {
	var list []string
	for _, h := range f.grants[name].Holders {
		text := string(h.Host)
		if h.State == core.GrantRevoked {
			text += "-"
		}
		list = append(list, text)
	}
	return strings.Join(list, " ")
}

func (f *fleet) assertHolders(name core.ModelName, active, revoked int) {
	f.t.Helper()
	text := f.holders(name)
	minus := strings.Count(text, "-")
	assert.Equal(f.t, minus, revoked, "%s has %q", name, text)
	assert.Equal(f.t, len(strings.Fields(text))-minus, active, "%s has %q", name, text)
}

// setState changes the state of a host.
func (f *fleet) setState(name core.HostName, s core.HostState) place.Host {
	for i := range 100 {
		if h := host(i); h.Name == name {
			h.State = s
			f.planner.SetHost(h)
			return h
		}
	}
	return place.Host{}
}

func (f *fleet) holder(name core.ModelName, i int) core.HostName {
	return f.grants[name].Holders[i].Host
}

func TestIdle(t *testing.T) {
	f := newFleet(t, hosts(9)...)
	f.setModel("m1", 0)
	f.setModel("m2", 4)
	f.settle()
	t.Run("an entry without a limit gets one holder", func(t *testing.T) { f.assertHolders("m1", 1, 0) })
	t.Run("other entries get two, in two data centres", func(t *testing.T) {
		f.assertHolders("m2", 2, 0)
		assert.Equal(t, len(f.holdersPerCentre("m2")), 2)
	})
}

func (f *fleet) holdersPerCentre(name core.ModelName) map[core.DataCentre]int {
	holders := map[core.DataCentre]int{}
	for _, h := range f.grants[name].Holders {
		for i := range 100 {
			if host(i).Name == h.Host {
				holders[host(i).DataCentre]++
			}
		}
	}
	return holders
}

func TestLimits(t *testing.T) {
	t.Run("revoked holders count", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 2)
		f.settle()
		f.setState(f.holder("m1", 0), core.HostLeaving)
		f.settle()
		f.assertHolders("m1", 1, 1)
		f.releaseRevoked()
		f.settle()
		f.assertHolders("m1", 2, 0)
	})
	t.Run("a leaving host is replaced at once where the limit leaves room", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 3)
		f.settle()
		f.setState(f.holder("m1", 0), core.HostLeaving)
		f.settle()
		f.assertHolders("m1", 2, 1)
	})
	t.Run("a lowered limit revokes", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 2)
		f.settle()
		f.setModel("m1", 1)
		f.settle()
		f.assertHolders("m1", 1, 1)
	})
	t.Run("a deleted entry revokes all", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 2)
		f.settle()
		f.version++
		f.planner.DeleteEntry("m1", f.version)
		f.settle()
		f.assertHolders("m1", 0, 2)
		f.releaseRevoked()
		f.settle()
		f.assertHolders("m1", 0, 0)
	})
	t.Run("an owner's memory bounds all its models together", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 100*core.GiB)
		f.setModel("m1", 2)
		f.setModel("m2", 2)
		f.settle()
		f.assertHolders("m1", 2, 0)
		f.assertHolders("m2", 1, 0)
	})
	t.Run("an adapter takes memory on each of its base's accelerators", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 120*core.GiB)
		f.setModel("m1", 1)
		f.setAdapter("a1", "m1", 1)
		f.settle()
		f.assertHolders("a1", 1, 0)
		e := f.newEntry("m1", 1)
		e.Accelerators = 2
		f.planner.SetEntry(e)
		f.setModel("m2", 1)
		f.settle()
		f.assertHolders("m2", 0, 0)
		assert.Equal(t, f.grants["a1"].Memory, 60*core.GiB)
	})
	t.Run("an owner's memory is freed only by a release", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 60*core.GiB)
		f.setModel("m2", 2)
		f.settle()
		f.setModel("m1", 2)
		f.settle()
		f.assertHolders("m2", 1, 1)
		f.assertHolders("m1", 0, 0)
		f.releaseRevoked()
		f.settle()
		f.assertHolders("m1", 1, 0)
	})
}

func TestOwnerRoom(t *testing.T) {
	newFullFleet := func(t *testing.T) *fleet {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 30*core.GiB)
		f.setModel("m1", 1)
		f.settle()
		f.assertHolders("m1", 1, 0)
		return f
	}
	replaceModel := func(f *fleet) {
		f.version++
		f.planner.DeleteEntry("m1", f.version)
		f.setModel("m2", 1)
		f.settle()
	}
	t.Run("a deleted entry's holders take room until they are released", func(t *testing.T) {
		f := newFullFleet(t)
		replaceModel(f)
		f.assertHolders("m2", 0, 0)
		f.releaseRevoked()
		f.settle()
		f.assertHolders("m2", 1, 0)
	})
	t.Run("the holders of a manually deleted grant take room until their host is gone", func(t *testing.T) {
		f := newFullFleet(t)
		h := f.grants["m1"].Holders[0]
		f.version++
		f.planner.DeleteGrant("m1", f.version)
		f.planner.RemoveHost(place.HostID{Host: h.Host, UID: h.UID})
		replaceModel(f)
		f.assertHolders("m2", 1, 0)
	})
}

func TestHosts(t *testing.T) {
	t.Run("a gone host is removed and replaced", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 1)
		f.settle()
		h := f.holder("m1", 0)
		f.setState(h, core.HostGone)
		f.settle()
		f.assertHolders("m1", 1, 0)
		assert.Assert(t, f.holder("m1", 0) != h)
	})
	t.Run("an unknown host stays a holder and is listed for a read from the platform", func(t *testing.T) {
		f := newFleet(t, hosts(3)...)
		f.setModel("m1", 1)
		f.grants["m1"] = core.GrantSpec{Fence: 7, Entry: 1, Owner: "nadi", Memory: 30 * core.GiB, Holders: []core.GrantHolder{
			{Host: "h50", UID: "u50", State: core.GrantActive},
		}}
		f.planner.SetGrant("m1", f.grants["m1"], 1)
		f.settle()
		f.assertHolders("m1", 1, 0)
		id := place.HostID{Host: "h50", UID: "u50"}
		assert.DeepEqual(t, f.planner.UnknownHolders(), []place.HostID{id})
		f.planner.RemoveHost(id)
		f.settle()
		assert.Assert(t, f.holder("m1", 0) != "h50")
		assert.Equal(t, len(f.planner.UnknownHolders()), 0)
	})
	t.Run("a new incarnation of a host holds nothing", func(t *testing.T) {
		f := newFleet(t, host(0))
		f.setModel("m1", 1)
		f.settle()
		old := place.HostID{Host: "h00", UID: "u0"}
		again := host(0)
		again.UID = "new"
		f.planner.SetHost(again)
		f.settle()
		_, held := place.HolderState(f.grants["m1"], old)
		assert.Assert(t, !held)
		state, _ := place.HolderState(f.grants["m1"], place.HostID{Host: "h00", UID: "new"})
		assert.Equal(t, state, core.GrantActive)
	})
	t.Run("a host that is too small is never chosen", func(t *testing.T) {
		small := host(0)
		small.Memory = 20 * core.GiB
		other := host(1)
		other.Service = "sijill"
		f := newFleet(t, small, other)
		f.setModel("m1", 2)
		f.settle()
		f.assertHolders("m1", 0, 0)
		f.planner.SetHost(host(2))
		f.settle()
		f.assertHolders("m1", 1, 0)
	})
	t.Run("a host near a copy of the checkpoint is preferred", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetCopies("h04", []core.EngineCopy{{Name: "m1", Tier: core.TierDisk}})
		f.planner.SetCopies("h05", []core.EngineCopy{{Name: "m1", Tier: core.TierMemory}})
		f.setModel("m1", 1)
		f.settle()
		assert.Equal(t, f.holders("m1"), "h05")
	})
}

func TestAdapters(t *testing.T) {
	f := newFleet(t, hosts(9)...)
	f.setModel("m1", 3)
	f.setAdapter("a1", "m1", 2)
	f.setAdapter("a2", "m9", 2)
	f.settle()
	t.Run("only hosts of the base hold them", func(t *testing.T) {
		assert.Equal(t, f.holders("a1"), f.holders("m1"))
		f.assertHolders("a2", 0, 0)
	})
	t.Run("they follow the base", func(t *testing.T) {
		h := f.holder("m1", 0)
		f.setState(h, core.HostLeaving)
		f.settle()
		f.assertHolders("a1", 1, 1)
		f.releaseRevoked()
		f.settle()
		assert.Equal(t, f.holders("a1"), f.holders("m1"))
	})
}

// A decider that has been replaced sees a larger fencing number, or has an older
// copy of the catalogue. It must write nothing to such an object.
func TestBehind(t *testing.T) {
	spec := core.GrantSpec{Fence: 7, Entry: 5, Owner: "nadi", Memory: core.GiB}
	t.Run("a larger fencing number", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.version = 10
		f.setModel("m1", 2)
		later := spec
		later.Fence = 8
		f.planner.SetGrant("m1", later, 3)
		assert.Equal(t, len(f.round()), 0)
	})
	t.Run("a newer entry", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 2)
		f.planner.SetGrant("m1", spec, 3)
		assert.Equal(t, len(f.round()), 0)
		f.version = 10
		f.setModel("m1", 2)
		assert.Equal(t, len(f.round()), 1)
	})
	t.Run("a catalogue that isn't listed yet", func(t *testing.T) {
		p := &place.Planner{}
		p.SetGrant("m1", spec, 3)
		assert.Equal(t, len(p.Round(start, 7, 10)), 0)
	})
}

func TestAnswers(t *testing.T) {
	t.Run("a write of unknown outcome counts against the owner until it is ruled out", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 60*core.GiB)
		f.setModel("m1", 1)
		for range 2 {
			for _, w := range f.planner.Round(f.now, 7, 1000) {
				f.planner.SetOutcome(w, place.Unknown)
			}
		}
		f.version++
		f.planner.DeleteEntry("m1", f.version)
		f.setModel("m0", 2)
		for _, w := range f.planner.Round(f.now, 7, 1000) {
			assert.Assert(t, w.Name != "m0" || len(w.Spec.Holders) < 2)
			f.apply(w)
		}
		f.settle()
		f.assertHolders("m0", 2, 0)
		f.assertHolders("m1", 0, 0)
	})
	t.Run("a model whose write conflicted is written again after the newer version arrives", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 1)
		w := f.planner.Round(f.now, 7, 10)[0]
		f.planner.SetOutcome(w, place.Conflict)
		assert.Equal(t, len(f.round()), 0)
		f.planner.SetGrant("m1", core.GrantSpec{Fence: 3}, 4)
		assert.Equal(t, len(f.round()), 1)
	})
	t.Run("a refused write is repeated", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 1)
		w := f.planner.Round(f.now, 7, 10)[0]
		assert.Equal(t, len(f.round()), 0)
		f.planner.SetOutcome(w, place.Refused)
		assert.Equal(t, len(f.round()), 1)
	})
	t.Run("a manually deleted grant is written again with its holders", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.setModel("m1", 2)
		f.settle()
		before := f.holders("m1")
		f.version++
		f.planner.DeleteGrant("m1", f.version)
		w := f.round()[0]
		assert.Equal(t, w.Version, core.Version(0))
		assert.Equal(t, f.holders("m1"), before)
	})
}

// A large change meets a platform that takes a few writes a second. Models without
// any holder must be written before those that only get more holders.
func TestBudget(t *testing.T) {
	f := newFleet(t, hosts(9)...)
	f.setModel("m1", 2)
	f.settle()
	f.setState(f.holder("m1", 0), core.HostLeaving)
	f.setState(f.holder("m1", 1), core.HostLeaving)
	for i := range 20 {
		f.setModel(core.ModelName(fmt.Sprint("new", i)), 1)
	}
	f.setModel("m1", 5)
	first := f.planner.Round(f.now, 7, 5)
	assert.Equal(t, len(first), 5)
	assert.Assert(t, slices.ContainsFunc(first, func(w place.Write) bool { return w.Name == "m1" }))
	for _, w := range first {
		assert.Equal(t, w.Reason, place.Unserved)
		f.apply(w)
	}
	f.settle()
	assert.Equal(t, f.planner.PendingModels(), 0)
}

func TestRelease(t *testing.T) {
	id := place.HostID{Host: "h1", UID: "u1"}
	spec := func(s core.GrantState) core.GrantSpec {
		return core.GrantSpec{Holders: []core.GrantHolder{{Host: "h1", UID: "u1", State: s}, {Host: "h2"}}}
	}
	t.Run("an active holder is not released", func(t *testing.T) {
		_, ok := place.Release(spec(core.GrantActive), id)
		assert.Assert(t, !ok)
	})
	t.Run("a revoked holder is released", func(t *testing.T) {
		released, ok := place.Release(spec(core.GrantRevoked), id)
		assert.Assert(t, ok)
		assert.DeepEqual(t, released.Holders, []core.GrantHolder{{Host: "h2"}})
	})
	t.Run("another incarnation of the host is not a holder", func(t *testing.T) {
		_, ok := place.Release(spec(core.GrantRevoked), place.HostID{Host: "h1", UID: "u2"})
		assert.Assert(t, !ok)
	})
}

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

// fleet is a planner with the platform it writes to, which never fails, and
// agents that release what is revoked when told to.
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
	f.planner.Listed()
	return f
}

// hosts returns n hosts over three data centres and two racks in each.
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

func (f *fleet) entry(name core.ModelName, replicas int) place.Entry {
	f.version++
	return place.Entry{
		Name: name, Version: f.version, Owner: "nadi", Service: "qalam",
		Memory: 30 * core.GiB, Replicas: replicas,
	}
}

func (f *fleet) model(name core.ModelName, replicas int) {
	f.planner.SetEntry(f.entry(name, replicas))
}

func (f *fleet) adapter(name, base core.ModelName, replicas int) {
	e := f.entry(name, replicas)
	e.Base = base
	f.planner.SetEntry(e)
}

// round applies one round's writes, one after the other.
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
	f.planner.Answered(w, place.Applied)
	f.planner.SetGrant(w.Name, w.Spec, f.version)
}

// run applies rounds until nothing changes.
func (f *fleet) run() {
	f.t.Helper()
	for range 50 {
		if len(f.round()) == 0 {
			return
		}
	}
	f.t.Fatal("rounds don't end")
}

// release has all agents give up what is revoked.
func (f *fleet) release() {
	for name, spec := range f.grants {
		for _, h := range spec.Holders {
			if less, ok := place.Release(f.grants[name], place.HostID{Host: h.Host, UID: h.UID}); ok {
				f.version++
				f.grants[name] = less
				f.planner.SetGrant(name, less, f.version)
			}
		}
	}
}

// holders lists a model's holders; a revoked one has a minus.
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

func (f *fleet) counts(name core.ModelName, active, revoked int) {
	f.t.Helper()
	text := f.holders(name)
	minus := strings.Count(text, "-")
	assert.Equal(f.t, minus, revoked, "%s has %q", name, text)
	assert.Equal(f.t, len(strings.Fields(text))-minus, active, "%s has %q", name, text)
}

// set changes a host's state.
func (f *fleet) set(name core.HostName, s core.HostState) place.Host {
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
	f.model("m1", 0)
	f.model("m2", 4)
	f.run()
	t.Run("an entry without a limit gets one holder", func(t *testing.T) { f.counts("m1", 1, 0) })
	t.Run("others get two, in two data centres", func(t *testing.T) {
		f.counts("m2", 2, 0)
		assert.Equal(t, len(f.centres("m2")), 2)
	})
}

func (f *fleet) centres(name core.ModelName) map[core.DataCentre]int {
	seen := map[core.DataCentre]int{}
	for _, h := range f.grants[name].Holders {
		for i := range 100 {
			if host(i).Name == h.Host {
				seen[host(i).DataCentre]++
			}
		}
	}
	return seen
}

func TestLimits(t *testing.T) {
	t.Run("revoked holders count", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 2)
		f.run()
		f.set(f.holder("m1", 0), core.HostLeaving)
		f.run()
		f.counts("m1", 1, 1)
		f.release()
		f.run()
		f.counts("m1", 2, 0)
	})
	t.Run("a leaving host is replaced at once where the limit leaves room", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 3)
		f.run()
		f.set(f.holder("m1", 0), core.HostLeaving)
		f.run()
		f.counts("m1", 2, 1)
	})
	t.Run("a lowered limit revokes", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 2)
		f.run()
		f.model("m1", 1)
		f.run()
		f.counts("m1", 1, 1)
	})
	t.Run("a deleted entry revokes all", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 2)
		f.run()
		f.version++
		f.planner.DropEntry("m1", f.version)
		f.run()
		f.counts("m1", 0, 2)
		f.release()
		f.run()
		f.counts("m1", 0, 0)
	})
	t.Run("an owner's memory bounds all its models together", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 100*core.GiB)
		f.model("m1", 2)
		f.model("m2", 2)
		f.run()
		f.counts("m1", 2, 0)
		f.counts("m2", 1, 0)
	})
	t.Run("an adapter takes memory on each of its base's accelerators", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 120*core.GiB)
		f.model("m1", 1)
		f.adapter("a1", "m1", 1)
		f.run()
		f.counts("a1", 1, 0)
		e := f.entry("m1", 1)
		e.Accelerators = 2
		f.planner.SetEntry(e)
		f.model("m2", 1)
		f.run()
		f.counts("m2", 0, 0)
		assert.Equal(t, f.grants["a1"].Memory, 60*core.GiB)
	})
	t.Run("and is freed for others only by a release", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 60*core.GiB)
		f.model("m2", 2)
		f.run()
		f.model("m1", 2)
		f.run()
		f.counts("m2", 1, 1)
		f.counts("m1", 0, 0)
		f.release()
		f.run()
		f.counts("m1", 1, 0)
	})
}

func TestOwnerRoom(t *testing.T) {
	full := func(t *testing.T) *fleet {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 30*core.GiB)
		f.model("m1", 1)
		f.run()
		f.counts("m1", 1, 0)
		return f
	}
	drop := func(f *fleet) {
		f.version++
		f.planner.DropEntry("m1", f.version)
		f.model("m2", 1)
		f.run()
	}
	t.Run("a deleted entry's holders take room until they let go", func(t *testing.T) {
		f := full(t)
		drop(f)
		f.counts("m2", 0, 0)
		f.release()
		f.run()
		f.counts("m2", 1, 0)
	})
	t.Run("so do those of a grant deleted by hand, until their host is gone", func(t *testing.T) {
		f := full(t)
		h := f.grants["m1"].Holders[0]
		f.version++
		f.planner.DropGrant("m1", f.version)
		f.planner.Gone(place.HostID{Host: h.Host, UID: h.UID})
		drop(f)
		f.counts("m2", 1, 0)
	})
}

func TestHosts(t *testing.T) {
	t.Run("a gone host is removed and replaced", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 1)
		f.run()
		h := f.holder("m1", 0)
		f.set(h, core.HostGone)
		f.run()
		f.counts("m1", 1, 0)
		assert.Assert(t, f.holder("m1", 0) != h)
	})
	t.Run("one that isn't known here is kept and asked for", func(t *testing.T) {
		f := newFleet(t, hosts(3)...)
		f.model("m1", 1)
		f.grants["m1"] = core.GrantSpec{Fence: 7, Entry: 1, Owner: "nadi", Memory: 30 * core.GiB, Holders: []core.GrantHolder{
			{Host: "h50", UID: "u50", State: core.GrantActive},
		}}
		f.planner.SetGrant("m1", f.grants["m1"], 1)
		f.run()
		f.counts("m1", 1, 0)
		id := place.HostID{Host: "h50", UID: "u50"}
		assert.DeepEqual(t, f.planner.Unproven(), []place.HostID{id})
		f.planner.Gone(id)
		f.run()
		assert.Assert(t, f.holder("m1", 0) != "h50")
		assert.Equal(t, len(f.planner.Unproven()), 0)
	})
	t.Run("one that came back under its name holds nothing", func(t *testing.T) {
		f := newFleet(t, host(0))
		f.model("m1", 1)
		f.run()
		old := place.HostID{Host: "h00", UID: "u0"}
		again := host(0)
		again.UID = "new"
		f.planner.SetHost(again)
		f.run()
		_, held := place.Held(f.grants["m1"], old)
		assert.Assert(t, !held)
		state, _ := place.Held(f.grants["m1"], place.HostID{Host: "h00", UID: "new"})
		assert.Equal(t, state, core.GrantActive)
	})
	t.Run("one that is too small is never taken", func(t *testing.T) {
		small := host(0)
		small.Memory = 20 * core.GiB
		other := host(1)
		other.Service = "sijill"
		f := newFleet(t, small, other)
		f.model("m1", 2)
		f.run()
		f.counts("m1", 0, 0)
		f.planner.SetHost(host(2))
		f.run()
		f.counts("m1", 1, 0)
	})
	t.Run("one near a copy of the checkpoint is preferred", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetCopies("h04", []core.EngineCopy{{Name: "m1", Tier: core.TierDisk}})
		f.planner.SetCopies("h05", []core.EngineCopy{{Name: "m1", Tier: core.TierMemory}})
		f.model("m1", 1)
		f.run()
		assert.Equal(t, f.holders("m1"), "h05")
	})
}

func TestAdapters(t *testing.T) {
	f := newFleet(t, hosts(9)...)
	f.model("m1", 3)
	f.adapter("a1", "m1", 2)
	f.adapter("a2", "m9", 2)
	f.run()
	t.Run("only hosts of the base hold them", func(t *testing.T) {
		assert.Equal(t, f.holders("a1"), f.holders("m1"))
		f.counts("a2", 0, 0)
	})
	t.Run("they follow the base", func(t *testing.T) {
		h := f.holder("m1", 0)
		f.set(h, core.HostLeaving)
		f.run()
		f.counts("a1", 1, 1)
		f.release()
		f.run()
		assert.Equal(t, f.holders("a1"), f.holders("m1"))
	})
}

// A decider that has been overtaken sees a newer one's number, or was started
// with an older copy of the catalogue. It must write nothing at all there.
func TestBehind(t *testing.T) {
	spec := core.GrantSpec{Fence: 7, Entry: 5, Owner: "nadi", Memory: core.GiB}
	t.Run("a larger fencing number", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.version = 10
		f.model("m1", 2)
		later := spec
		later.Fence = 8
		f.planner.SetGrant("m1", later, 3)
		assert.Equal(t, len(f.round()), 0)
	})
	t.Run("a newer entry", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 2)
		f.planner.SetGrant("m1", spec, 3)
		assert.Equal(t, len(f.round()), 0)
		f.version = 10
		f.model("m1", 2)
		assert.Equal(t, len(f.round()), 1)
	})
	t.Run("a catalogue that isn't listed yet", func(t *testing.T) {
		p := &place.Planner{}
		p.SetGrant("m1", spec, 3)
		assert.Equal(t, len(p.Round(start, 7, 10)), 0)
	})
}

func TestAnswers(t *testing.T) {
	t.Run("an unsure write counts against the owner until it is ruled out", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.planner.SetOwner("nadi", 60*core.GiB)
		f.model("m1", 1)
		for range 2 {
			for _, w := range f.planner.Round(f.now, 7, 1000) {
				f.planner.Answered(w, place.Unsure)
			}
		}
		f.version++
		f.planner.DropEntry("m1", f.version)
		f.model("m0", 2)
		for _, w := range f.planner.Round(f.now, 7, 1000) {
			assert.Assert(t, w.Name != "m0" || len(w.Spec.Holders) < 2)
			f.apply(w)
		}
		f.run()
		f.counts("m0", 2, 0)
		f.counts("m1", 0, 0)
	})
	t.Run("an overtaken one waits for the newer version", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 1)
		w := f.planner.Round(f.now, 7, 10)[0]
		f.planner.Answered(w, place.Overtaken)
		assert.Equal(t, len(f.round()), 0)
		f.planner.SetGrant("m1", core.GrantSpec{Fence: 3}, 4)
		assert.Equal(t, len(f.round()), 1)
	})
	t.Run("a refused one is made again", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 1)
		w := f.planner.Round(f.now, 7, 10)[0]
		assert.Equal(t, len(f.round()), 0)
		f.planner.Answered(w, place.Refused)
		assert.Equal(t, len(f.round()), 1)
	})
	t.Run("a grant deleted by hand is written again with its holders", func(t *testing.T) {
		f := newFleet(t, hosts(9)...)
		f.model("m1", 2)
		f.run()
		before := f.holders("m1")
		f.version++
		f.planner.DropGrant("m1", f.version)
		w := f.round()[0]
		assert.Equal(t, w.Version, core.Version(0))
		assert.Equal(t, f.holders("m1"), before)
	})
}

// A wave of changes meets a platform that takes a few writes a second. Models
// that nobody can serve are written before those that are merely improved.
func TestBudget(t *testing.T) {
	f := newFleet(t, hosts(9)...)
	f.model("m1", 2)
	f.run()
	f.set(f.holder("m1", 0), core.HostLeaving)
	f.set(f.holder("m1", 1), core.HostLeaving)
	for i := range 20 {
		f.model(core.ModelName(fmt.Sprint("new", i)), 1)
	}
	f.model("m1", 5)
	first := f.planner.Round(f.now, 7, 5)
	assert.Equal(t, len(first), 5)
	assert.Assert(t, slices.ContainsFunc(first, func(w place.Write) bool { return w.Name == "m1" }))
	for _, w := range first {
		assert.Equal(t, w.Reason, place.Unserved)
		f.apply(w)
	}
	f.run()
	assert.Equal(t, f.planner.Waiting(), 0)
}

func TestRelease(t *testing.T) {
	id := place.HostID{Host: "h1", UID: "u1"}
	spec := func(s core.GrantState) core.GrantSpec {
		return core.GrantSpec{Holders: []core.GrantHolder{{Host: "h1", UID: "u1", State: s}, {Host: "h2"}}}
	}
	t.Run("an active holder may not go", func(t *testing.T) {
		_, ok := place.Release(spec(core.GrantActive), id)
		assert.Assert(t, !ok)
	})
	t.Run("a revoked one may", func(t *testing.T) {
		less, ok := place.Release(spec(core.GrantRevoked), id)
		assert.Assert(t, ok)
		assert.DeepEqual(t, less.Holders, []core.GrantHolder{{Host: "h2"}})
	})
	t.Run("another life of the host is no holder", func(t *testing.T) {
		_, ok := place.Release(spec(core.GrantRevoked), place.HostID{Host: "h1", UID: "u2"})
		assert.Assert(t, !ok)
	})
}

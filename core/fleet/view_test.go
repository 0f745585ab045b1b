package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

var t0 = time.Unix(10_000, 0)

func after(d time.Duration) time.Time { return t0.Add(d) }

// entry is a host at an address of its own, which its name gives.
func entry(id string, models ...core.ModelName) fleet.Entry {
	ip := [4]byte{10}
	copy(ip[1:], id[max(0, len(id)-3):])
	e := fleet.Entry{
		ID: core.HostName(id), Service: "llm", Usable: true, DataCentre: "dc-1", Slots: 64,
		Address: netip.AddrPortFrom(netip.AddrFrom4(ip), 80),
	}
	for _, m := range models {
		e.Models = append(e.Models, core.HeldModel{Model: m})
	}
	return e
}

func view(entries ...fleet.Entry) *fleet.View {
	v := &fleet.View{}
	for _, e := range entries {
		v.Apply(e)
	}
	return v
}

func wantPick(t *testing.T, v *fleet.View, now time.Time, want string) fleet.Choice {
	t.Helper()
	c := v.Pick(now, &fleet.Query{Service: "llm", Model: "m", DataCentre: "dc-1"})
	got := ""
	if c.Host != nil {
		got = string(c.Host.ID)
	}
	assert.Equal(t, got, want)
	return c
}

func TestLeaving(t *testing.T) {
	t.Run("by the registry", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		e := entry("i-1", "m")
		e.Leaving = true
		v.Apply(e)
		c := wantPick(t, v, t0, "")
		assert.Assert(t, !c.Listed)
	})
	t.Run("by its agent, and an older entry does not bring it back", func(t *testing.T) {
		// A host says at once that it leaves; the registry's word comes a second
		// later, and a read that lags still calls it ready. New work sent on that
		// word reaches the host after it may.
		v := view(entry("i-1", "m"))
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Leaving: true, Models: []core.HeldModel{{Model: "m"}}})
		wantPick(t, v, t0, "")
		v.Apply(entry("i-1", "m"))
		v.Report(fleet.Report{Taken: after(time.Second), ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		wantPick(t, v, after(time.Second), "")
	})
	t.Run("an entry that leaves does not come back in one life", func(t *testing.T) {
		v := view()
		e := entry("i-1", "m")
		e.Leaving = true
		v.Apply(e)
		v.Apply(entry("i-1", "m"))
		wantPick(t, v, t0, "")
	})
	t.Run("by its own word, which the lapse of its entry does not end", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		assert.Assert(t, v.NoteLeaving(fleet.Life{ID: "i-1"}, t0))
		assert.Assert(t, !v.NoteLeaving(fleet.Life{ID: "i-1"}, t0), "it is no news twice")
		c := wantPick(t, v, t0, "")
		assert.Assert(t, c.Leaving && !c.Listed)
		v.Remove(t0, "i-1")
		v.Apply(entry("i-1", "m"))
		wantPick(t, v, after(time.Second), "")
	})
	t.Run("by its own word, which holds for its life only", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		v.NoteLeaving(fleet.Life{ID: "i-1"}, t0)
		again := entry("i-1", "m")
		again.Born = 7
		v.Apply(again)
		wantPick(t, v, t0, "i-1")
	})
	t.Run("by a word from elsewhere that comes before its entry", func(t *testing.T) {
		v := view()
		v.NoteLeaving(fleet.Life{ID: "i-1"}, t0)
		v.Apply(entry("i-1", "m"))
		wantPick(t, v, t0, "")
	})
	t.Run("removal without a word", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		v.Remove(t0, "i-1")
		wantPick(t, v, t0, "")
	})
}

// The store is out for longer than the hosts' entries live. When it is back, all
// entries are gone, and those of living hosts return within two seconds. Without
// the grace all callers would be refused for that time.
func TestLapsedEntries(t *testing.T) {
	lapse := func() *fleet.View {
		v := view(entry("i-1", "m"))
		v.Troubled(t0)
		v.Replace(after(time.Second), nil)
		return v
	}
	t.Run("kept for the grace", func(t *testing.T) {
		v := lapse()
		v.Tick(after(2900 * time.Millisecond))
		wantPick(t, v, after(2900*time.Millisecond), "i-1")
	})
	t.Run("gone after it", func(t *testing.T) {
		v := lapse()
		v.Tick(after(3 * time.Second))
		wantPick(t, v, after(3*time.Second), "")
	})
	t.Run("back within it", func(t *testing.T) {
		v := lapse()
		v.Apply(entry("i-1", "m"))
		v.Tick(after(time.Minute))
		wantPick(t, v, after(time.Minute), "i-1")
	})
	t.Run("a second removal does not prolong it", func(t *testing.T) {
		v := lapse()
		v.Remove(after(2*time.Second), "i-1")
		v.Tick(after(3 * time.Second))
		wantPick(t, v, after(3*time.Second), "")
	})
	t.Run("a removal well after the store is back is one", func(t *testing.T) {
		// The store turned this entry away alone, until three seconds ago. Then a
		// host leaves without a word. Taken for a lapse, it got requests for two
		// seconds more, eight milliseconds longer than a leaving host may.
		v := view(entry("i-1", "m"))
		v.Troubled(t0)
		v.Remove(after(3*time.Second), "i-1")
		wantPick(t, v, after(3*time.Second), "")
	})
	t.Run("a host that was leaving has no grace", func(t *testing.T) {
		v := view()
		e := entry("i-1", "m")
		e.Leaving = true
		v.Apply(e)
		v.Troubled(t0)
		v.Remove(t0, "i-1")
		assert.Assert(t, v.Host("i-1") == nil)
	})
}

// A host crashes and starts again under its id. What it held and what was known
// of it is void; an entry or report of before must not be taken for the new life.
func TestBornAgain(t *testing.T) {
	old := entry("i-1", "m")
	old.Born = 1
	v := view(old)
	v.Report(fleet.Report{Taken: t0, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
	v.Host("i-1").Failed(t0)
	again := entry("i-1")
	again.Born = 2
	v.Apply(again)
	wantPick(t, v, t0, "")
	assert.Equal(t, v.Host("i-1").Failing(t0), 0.0)
}

// A host is started anew under another id, and the registry lists its old life
// for three beats more. What is sent to that one is turned away.
func TestOutlivedEntry(t *testing.T) {
	old, young := entry("i-1", "m"), entry("i-2", "m")
	old.Born, young.Born, young.Address = 1, 2, old.Address
	v := view(old, young)
	v.Outlived(old.Address, 2, nil)
	v.Outlived(netip.MustParseAddrPort("10.9.9.9:80"), 9, nil)
	for range 3 {
		wantPick(t, v, t0, "i-2")
		v.Host("i-2").Sent(t0, prompt("doc", "own"))
	}
}

// Hosts that do not say when they were born are started anew, and the agent has
// an order refused by the new life. Requests and loads still went to the old one
// until its entry lapsed, also after the whole registry was read again.
func TestEndedLife(t *testing.T) {
	old, young := entry("i-1", "m"), entry("i-2", "m")
	t.Run("is not used", func(t *testing.T) {
		v := view(old, young)
		v.Outlived(old.Address, 0, []core.HostName{"i-1"})
		wantPick(t, v, t0, "i-2")
		assert.Assert(t, v.Host("i-1").Outlived())
	})
	t.Run("is not used after the registry was read again", func(t *testing.T) {
		v := view(old)
		v.Outlived(old.Address, 0, []core.HostName{"i-1"})
		v.Replace(t0, []fleet.Entry{old})
		wantPick(t, v, t0, "")
	})
	t.Run("is used again once its agent does not say so any more", func(t *testing.T) {
		v := view(old)
		v.Outlived(old.Address, 0, []core.HostName{"i-1"})
		v.Outlived(old.Address, 0, nil)
		wantPick(t, v, t0, "i-1")
	})
	t.Run("of another address is left alone", func(t *testing.T) {
		v := view(old)
		v.Outlived(netip.MustParseAddrPort("10.9.9.9:80"), 0, []core.HostName{"i-1"})
		wantPick(t, v, t0, "i-1")
	})
}

// Both hosts that hold a busy model crash. Their agents see it at once, but the
// registry lists them for three seconds more: all that time the model counted as
// held, callers waited for hosts that took no connection, and no other host began
// to load it.
func TestLostHost(t *testing.T) {
	report := func(at time.Time) fleet.Report {
		return fleet.Report{Taken: at, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}}
	}
	e := entry("i-1", "m")
	t.Run("is not used while its agent says so", func(t *testing.T) {
		v := view(e)
		v.Report(report(t0))
		before := v.Changes()
		v.Lost(after(time.Second), e.Address)
		assert.Assert(t, v.Changes() > before, "requests that wait look again")
		wantPick(t, v, after(time.Second), "")
		assert.Assert(t, v.Host("i-1").Lost(after(2*time.Second)))
	})
	t.Run("is used again once its agent reaches it", func(t *testing.T) {
		v := view(e)
		v.Lost(t0, e.Address)
		v.Report(report(after(time.Second)))
		wantPick(t, v, after(time.Second), "i-1")
	})
	t.Run("is used again when the agent itself is silent", func(t *testing.T) {
		v := view(e)
		v.Lost(t0, e.Address)
		wantPick(t, v, after(3*time.Second), "i-1")
	})
	t.Run("others at other addresses are left alone", func(t *testing.T) {
		v := view(e)
		v.Lost(t0, netip.MustParseAddrPort("10.9.9.9:80"))
		wantPick(t, v, t0, "i-1")
	})
}

// All hosts lost power and are back under new names, and the registry lists both
// lives of each for seconds. Entries that started meanwhile differed in which one
// they told an agent, it changed its mind with each, and the planner gave loads to
// dead lives, where they counted as under way.
func TestTwoLivesAtOneAddress(t *testing.T) {
	at := func(id string, revision uint64) fleet.Entry {
		e := entry(id, "m")
		e.Address, e.Revision = netip.MustParseAddrPort("10.9.9.9:80"), revision
		return e
	}
	newest := func(t *testing.T, v *fleet.View, want core.HostName) {
		t.Helper()
		assert.Equal(t, v.Newest(netip.MustParseAddrPort("10.9.9.9:80")).ID, want)
		wantPick(t, v, t0, string(want))
	}
	t.Run("the one that was written last runs, in whatever order they are read", func(t *testing.T) {
		newest(t, view(at("i-1", 7), at("i-2", 9)), "i-2")
		newest(t, view(at("i-2", 9), at("i-1", 7)), "i-2")
		newest(t, view(at("i-1", 9), at("i-2", 7)), "i-1")
	})
	t.Run("the one that was born last, where that is told", func(t *testing.T) {
		old, young := at("i-2", 9), at("i-1", 7)
		old.Born, young.Born = 1, 2
		newest(t, view(young, old), "i-1")
	})
	t.Run("the dead one is not used though the other leaves", func(t *testing.T) {
		v := view(at("i-1", 7), at("i-2", 9))
		leaving := at("i-2", 10)
		leaving.Leaving = true
		v.Apply(leaving)
		wantPick(t, v, t0, "")
	})
	t.Run("the other one, once the agent says that this one has ended", func(t *testing.T) {
		v := view(at("i-1", 7), at("i-2", 9))
		v.Outlived(netip.MustParseAddrPort("10.9.9.9:80"), 0, []core.HostName{"i-2"})
		newest(t, v, "i-1")
	})
	t.Run("the other one, once this one is removed", func(t *testing.T) {
		v := view(at("i-1", 7), at("i-2", 9))
		v.Remove(t0, "i-2")
		newest(t, v, "i-1")
	})
	t.Run("none at an address that nobody is listed at", func(t *testing.T) {
		v := view(at("i-1", 7))
		assert.Equal(t, v.Newest(netip.MustParseAddrPort("10.9.9.8:80")).ID, core.HostName(""))
	})
}

func TestUnusableEntry(t *testing.T) {
	v := view(fleet.Entry{ID: "i-9", Service: "llm"}, entry("i-1", "m"))
	wantPick(t, v, t0, "i-1")
}

func TestReports(t *testing.T) {
	t.Run("the fresher word on what is held counts", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		v.Report(fleet.Report{Taken: t0, ID: "i-1"})
		wantPick(t, v, after(time.Second), "")
		wantPick(t, v, after(3*time.Second), "i-1")
	})
	t.Run("an older report does not replace a newer", func(t *testing.T) {
		v := view(entry("i-1"))
		v.Report(fleet.Report{Taken: after(time.Second), ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		v.Report(fleet.Report{Taken: t0, ID: "i-1"})
		wantPick(t, v, after(time.Second), "i-1")
	})
	t.Run("reports of lives that are not listed are passed over", func(t *testing.T) {
		v := view()
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		wantPick(t, v, t0, "")
	})
	t.Run("a host's refusal counts above its report for a while", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		v.Host("i-1").Lacks(t0, "m")
		wantPick(t, v, t0, "")
		wantPick(t, v, after(2*time.Second), "i-1")
	})
	t.Run("a rate that the host names to its agent counts, and silence on it lifts none", func(t *testing.T) {
		v, one := view(entry("i-1")), core.RateLimit{Limited: true, Rate: 1}
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Limit: one})
		v.Report(fleet.Report{Taken: after(time.Second), ID: "i-1"})
		assert.Equal(t, v.Host("i-1").Limit(after(time.Second)), one)
	})
	t.Run("changes that matter are counted", func(t *testing.T) {
		v := view(entry("i-1"))
		before := v.Changes()
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Running: 3})
		assert.Equal(t, v.Changes(), before)
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		assert.Assert(t, v.Changes() > before)
	})
}

// A host and its agent stand still. The agent's last word counts as fresh for two
// seconds, but after one its streams are looked at.
func TestSilentAgent(t *testing.T) {
	v := view(entry("i-1", "m"))
	h := v.Host("i-1")
	assert.Assert(t, !h.Silent(t0), "an agent that was never heard of tells nothing")
	v.Report(fleet.Report{Taken: t0, ID: "i-1", Reachable: true})
	assert.Assert(t, !h.Silent(t0.Add(900*time.Millisecond)))
	assert.Assert(t, h.Silent(t0.Add(time.Second)))
}

// A planner asks which models a host could give up at once. Requests of other entries
// are in progress there, which only the host's agent was told of.
func TestActiveRequests(t *testing.T) {
	v := view(entry("i-1", "m", "n"))
	h := v.Host("i-1")
	h.Sent(t0, prompt("doc", "own"))
	h.Sent(t0, prompt("doc", "other"))
	v.Report(fleet.Report{Taken: t0, ID: "i-1", Reachable: true, Active: map[core.ModelName]int{"m": 1, "n": 3}})
	assert.Equal(t, h.Active("m"), 2)
	assert.Equal(t, h.Active("n"), 3)
	h.Ended("m")
	h.Ended("m")
	assert.Equal(t, h.Active("m"), 1)
	assert.Equal(t, len(h.OwnActive()), 0)
}

// Guards against hosts that are sent requests which they have said they do not want, and
// against requests that wait for one while another takes them.
func TestBackoff(t *testing.T) {
	v := view(entry("i-1", "m"), entry("i-2", "m"))
	assert.Assert(t, v.NoteBackoff(fleet.Life{ID: "i-1"}, t0, after(time.Second)))
	assert.Assert(t, !v.NoteBackoff(fleet.Life{ID: "i-1"}, t0, after(500*time.Millisecond)), "it is no news")
	c := wantPick(t, v, t0, "i-2")
	assert.Assert(t, c.RetryAt.IsZero())
	v.NoteBackoff(fleet.Life{ID: "i-2"}, t0, after(3*time.Second))
	c = wantPick(t, v, t0, "")
	assert.Equal(t, c.RetryAt, after(time.Second), "the first to take requests again")
	assert.Assert(t, c.BacksOff(t0, 800*time.Millisecond) && !c.BacksOff(t0, time.Second))
	wantPick(t, v, after(time.Second), "i-1")
	assert.Assert(t, v.NoteBackoff(fleet.Life{ID: "i-1"}, after(time.Second), after(2*time.Second)))
	t.Run("one that was tried still takes requests", func(t *testing.T) {
		v := view(entry("i-1", "m"), entry("i-2", "m"))
		v.NoteBackoff(fleet.Life{ID: "i-1"}, t0, after(time.Hour))
		c := v.Pick(t0, &fleet.Query{Service: "llm", Model: "m", Tried: []core.HostName{"i-2"}})
		assert.Assert(t, c.Host == nil && c.RetryAt.IsZero())
	})
}

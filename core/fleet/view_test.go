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

// entry returns a host with an address that is derived from its ID.
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
	t.Run("by its agent, and an older entry does not revoke it", func(t *testing.T) {
		// The host's agent reports at once that the host is leaving, while the registry
		// follows a second later and a stale read still calls it ready. Requests sent
		// because of that read would reach the host after it stops taking them.
		v := view(entry("i-1", "m"))
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Leaving: true, Models: []core.HeldModel{{Model: "m"}}})
		wantPick(t, v, t0, "")
		v.Apply(entry("i-1", "m"))
		v.Report(fleet.Report{Taken: after(time.Second), ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		wantPick(t, v, after(time.Second), "")
	})
	t.Run("an entry does not return from leaving within one incarnation", func(t *testing.T) {
		v := view()
		e := entry("i-1", "m")
		e.Leaving = true
		v.Apply(e)
		v.Apply(entry("i-1", "m"))
		wantPick(t, v, t0, "")
	})
	t.Run("by its own report, which outlasts the lapse of its entry", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		assert.Assert(t, v.NoteLeaving(fleet.Incarnation{ID: "i-1"}, t0))
		assert.Assert(t, !v.NoteLeaving(fleet.Incarnation{ID: "i-1"}, t0), "already known")
		c := wantPick(t, v, t0, "")
		assert.Assert(t, c.Leaving && !c.Listed)
		v.Remove(t0, "i-1")
		v.Apply(entry("i-1", "m"))
		wantPick(t, v, after(time.Second), "")
	})
	t.Run("by its own report, which is for one incarnation", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		v.NoteLeaving(fleet.Incarnation{ID: "i-1"}, t0)
		again := entry("i-1", "m")
		again.Born = 7
		v.Apply(again)
		wantPick(t, v, t0, "i-1")
	})
	t.Run("by a report that arrives before its entry", func(t *testing.T) {
		v := view()
		v.NoteLeaving(fleet.Incarnation{ID: "i-1"}, t0)
		v.Apply(entry("i-1", "m"))
		wantPick(t, v, t0, "")
	})
	t.Run("removal without notice", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		v.Remove(t0, "i-1")
		wantPick(t, v, t0, "")
	})
}

// Guards against callers that are refused after an outage of the store. If the store is out
// for longer than entries last, no entry is left when it is back, and those of live
// hosts return within two seconds.
func TestLapsedEntries(t *testing.T) {
	lapse := func() *fleet.View {
		v := view(entry("i-1", "m"))
		v.NoteStoreFailure(t0)
		v.Replace(after(time.Second), nil)
		return v
	}
	t.Run("kept for the grace period", func(t *testing.T) {
		v := lapse()
		v.Tick(after(2900 * time.Millisecond))
		wantPick(t, v, after(2900*time.Millisecond), "i-1")
	})
	t.Run("removed after it", func(t *testing.T) {
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
	t.Run("a removal well after the outage is not a lapse", func(t *testing.T) {
		// The store refused only this process's reads, the last one three seconds ago, and
		// this host stops without notice. Taken for a lapse, it would get requests for two
		// seconds more, eight milliseconds longer than is allowed for a leaving host.
		v := view(entry("i-1", "m"))
		v.NoteStoreFailure(t0)
		v.Remove(after(3*time.Second), "i-1")
		wantPick(t, v, after(3*time.Second), "")
	})
	t.Run("a host that was leaving gets no grace period", func(t *testing.T) {
		v := view()
		e := entry("i-1", "m")
		e.Leaving = true
		v.Apply(e)
		v.NoteStoreFailure(t0)
		v.Remove(t0, "i-1")
		assert.Assert(t, v.Host("i-1") == nil)
	})
}

// Guards against state of an earlier incarnation that is kept after a host crashes and
// restarts under the same ID.
func TestBornAgain(t *testing.T) {
	old := entry("i-1", "m")
	old.Born = 1
	v := view(old)
	v.Report(fleet.Report{Taken: t0, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
	v.Host("i-1").NoteFailure(t0)
	again := entry("i-1")
	again.Born = 2
	v.Apply(again)
	wantPick(t, v, t0, "")
	assert.Equal(t, v.Host("i-1").FailureCount(t0), 0.0)
}

// Guards against requests to an incarnation that has ended. A host restarts under another
// ID, and the registry lists the old one for three heartbeats more.
func TestOutlivedEntry(t *testing.T) {
	ended, running := entry("i-1", "m"), entry("i-2", "m")
	ended.Born, running.Born, running.Address = 1, 2, ended.Address
	v := view(ended, running)
	v.NoteIncarnations(ended.Address, 2, nil)
	v.NoteIncarnations(netip.MustParseAddrPort("10.9.9.9:80"), 9, nil)
	for range 3 {
		wantPick(t, v, t0, "i-2")
		v.Host("i-2").NoteSent(t0, prompt("doc", "own"))
	}
}

// Guards against requests and loads for an incarnation that has ended when hosts do not
// report their start times. The agent learns of the restart from a refused order, and the
// old incarnation must stay unused until its entry lapses, also after the whole registry is
// read again.
func TestEndedLife(t *testing.T) {
	ended, running := entry("i-1", "m"), entry("i-2", "m")
	t.Run("is not used", func(t *testing.T) {
		v := view(ended, running)
		v.NoteIncarnations(ended.Address, 0, []core.HostName{"i-1"})
		wantPick(t, v, t0, "i-2")
		assert.Assert(t, v.Host("i-1").HasEnded())
	})
	t.Run("is not used after the registry was read again", func(t *testing.T) {
		v := view(ended)
		v.NoteIncarnations(ended.Address, 0, []core.HostName{"i-1"})
		v.Replace(t0, []fleet.Entry{ended})
		wantPick(t, v, t0, "")
	})
	t.Run("is used again once its agent no longer reports that", func(t *testing.T) {
		v := view(ended)
		v.NoteIncarnations(ended.Address, 0, []core.HostName{"i-1"})
		v.NoteIncarnations(ended.Address, 0, nil)
		wantPick(t, v, t0, "i-1")
	})
	t.Run("at another address is unaffected", func(t *testing.T) {
		v := view(ended)
		v.NoteIncarnations(netip.MustParseAddrPort("10.9.9.9:80"), 0, []core.HostName{"i-1"})
		wantPick(t, v, t0, "i-1")
	})
}

// Guards against a model that counts as held while its hosts are down. Both hosts of a busy
// model crash, and their agents notice at once, but the registry lists them for three
// seconds more. In that time callers waited for hosts that accepted no connection, and no
// other host began to load the model.
func TestLostHost(t *testing.T) {
	report := func(at time.Time) fleet.Report {
		return fleet.Report{Taken: at, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}}
	}
	e := entry("i-1", "m")
	t.Run("is not used while its agent reports that", func(t *testing.T) {
		v := view(e)
		v.Report(report(t0))
		before := v.Changes()
		v.NoteUnreachable(after(time.Second), e.Address)
		assert.Assert(t, v.Changes() > before, "waiting requests have to look again")
		wantPick(t, v, after(time.Second), "")
		assert.Assert(t, v.Host("i-1").IsUnreachable(after(2*time.Second)))
	})
	t.Run("is used again once its agent reaches it", func(t *testing.T) {
		v := view(e)
		v.NoteUnreachable(t0, e.Address)
		v.Report(report(after(time.Second)))
		wantPick(t, v, after(time.Second), "i-1")
	})
	t.Run("is used again when the agent itself is silent", func(t *testing.T) {
		v := view(e)
		v.NoteUnreachable(t0, e.Address)
		wantPick(t, v, after(3*time.Second), "i-1")
	})
	t.Run("hosts at other addresses are unaffected", func(t *testing.T) {
		v := view(e)
		v.NoteUnreachable(t0, netip.MustParseAddrPort("10.9.9.9:80"))
		wantPick(t, v, t0, "i-1")
	})
}

// Guards against processes that disagree on the running incarnation. All hosts lose power
// and return under new names, and for some seconds the registry lists both incarnations of
// each. Entries that started in that time named different ones to an agent, which switched
// with each, and the planner ordered loads on ended incarnations, where they counted as
// under way.
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
	t.Run("the one that was written last, in whatever order they are read", func(t *testing.T) {
		newest(t, view(at("i-1", 7), at("i-2", 9)), "i-2")
		newest(t, view(at("i-2", 9), at("i-1", 7)), "i-2")
		newest(t, view(at("i-1", 9), at("i-2", 7)), "i-1")
	})
	t.Run("the one that started last, if start times are known", func(t *testing.T) {
		earlier, later := at("i-2", 9), at("i-1", 7)
		earlier.Born, later.Born = 1, 2
		newest(t, view(later, earlier), "i-1")
	})
	t.Run("the ended one is not used though the other is leaving", func(t *testing.T) {
		v := view(at("i-1", 7), at("i-2", 9))
		leaving := at("i-2", 10)
		leaving.Leaving = true
		v.Apply(leaving)
		wantPick(t, v, t0, "")
	})
	t.Run("the other one, once the agent reports that this one has ended", func(t *testing.T) {
		v := view(at("i-1", 7), at("i-2", 9))
		v.NoteIncarnations(netip.MustParseAddrPort("10.9.9.9:80"), 0, []core.HostName{"i-2"})
		newest(t, v, "i-1")
	})
	t.Run("the other one, once this one is removed", func(t *testing.T) {
		v := view(at("i-1", 7), at("i-2", 9))
		v.Remove(t0, "i-2")
		newest(t, v, "i-1")
	})
	t.Run("none at an address without a listed host", func(t *testing.T) {
		v := view(at("i-1", 7))
		assert.Equal(t, v.Newest(netip.MustParseAddrPort("10.9.9.8:80")).ID, core.HostName(""))
	})
}

func TestUnusableEntry(t *testing.T) {
	v := view(fleet.Entry{ID: "i-9", Service: "llm"}, entry("i-1", "m"))
	wantPick(t, v, t0, "i-1")
}

func TestReports(t *testing.T) {
	t.Run("the fresher source of the held models is used", func(t *testing.T) {
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
	t.Run("reports of incarnations that are not listed are ignored", func(t *testing.T) {
		v := view()
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		wantPick(t, v, t0, "")
	})
	t.Run("a host's refusal overrides its report for a while", func(t *testing.T) {
		v := view(entry("i-1", "m"))
		v.Host("i-1").NoteMissing(t0, "m")
		wantPick(t, v, t0, "")
		wantPick(t, v, after(2*time.Second), "i-1")
	})
	t.Run("a rate limit in a report is used, and a report without one does not lift it", func(t *testing.T) {
		v, onePerSecond := view(entry("i-1")), core.RateLimit{Limited: true, Rate: 1}
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Limit: onePerSecond})
		v.Report(fleet.Report{Taken: after(time.Second), ID: "i-1"})
		assert.Equal(t, v.Host("i-1").Limit(after(time.Second)), onePerSecond)
	})
	t.Run("relevant changes are counted", func(t *testing.T) {
		v := view(entry("i-1"))
		before := v.Changes()
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Running: 3})
		assert.Equal(t, v.Changes(), before)
		v.Report(fleet.Report{Taken: t0, ID: "i-1", Models: []core.HeldModel{{Model: "m"}}})
		assert.Assert(t, v.Changes() > before)
	})
}

// Guards against a stalled host whose agent is stalled with it. The agent's last report
// stays fresh for two seconds, but after one second the agent counts as silent.
func TestSilentAgent(t *testing.T) {
	v := view(entry("i-1", "m"))
	h := v.Host("i-1")
	assert.Assert(t, !h.Silent(t0), "an agent that never reported is not silent")
	v.Report(fleet.Report{Taken: t0, ID: "i-1", Reachable: true})
	assert.Assert(t, !h.Silent(t0.Add(900*time.Millisecond)))
	assert.Assert(t, h.Silent(t0.Add(time.Second)))
}

// Guards against a planner that evicts a model in use. The requests in progress of other
// entries are known only from the host's agent.
func TestActiveRequests(t *testing.T) {
	v := view(entry("i-1", "m", "n"))
	h := v.Host("i-1")
	h.NoteSent(t0, prompt("doc", "own"))
	h.NoteSent(t0, prompt("doc", "other"))
	v.Report(fleet.Report{Taken: t0, ID: "i-1", Reachable: true, Active: map[core.ModelName]int{"m": 1, "n": 3}})
	assert.Equal(t, h.Active("m"), 2)
	assert.Equal(t, h.Active("n"), 3)
	h.NoteEnd("m")
	h.NoteEnd("m")
	assert.Equal(t, h.Active("m"), 1)
	assert.Equal(t, len(h.OwnActive()), 0)
}

// Guards against requests to hosts that have asked for a backoff, and against requests that
// wait for such a host while another is available.
func TestBackoff(t *testing.T) {
	v := view(entry("i-1", "m"), entry("i-2", "m"))
	assert.Assert(t, v.NoteBackoff(fleet.Incarnation{ID: "i-1"}, t0, after(time.Second)))
	assert.Assert(t, !v.NoteBackoff(fleet.Incarnation{ID: "i-1"}, t0, after(500*time.Millisecond)), "already backing off")
	c := wantPick(t, v, t0, "i-2")
	assert.Assert(t, c.RetryAt.IsZero())
	v.NoteBackoff(fleet.Incarnation{ID: "i-2"}, t0, after(3*time.Second))
	c = wantPick(t, v, t0, "")
	assert.Equal(t, c.RetryAt, after(time.Second), "the end of the first backoff")
	assert.Assert(t, c.AllBackingOff(t0, 800*time.Millisecond) && !c.AllBackingOff(t0, time.Second))
	wantPick(t, v, after(time.Second), "i-1")
	assert.Assert(t, v.NoteBackoff(fleet.Incarnation{ID: "i-1"}, after(time.Second), after(2*time.Second)))
	t.Run("a host that was tried is not backing off", func(t *testing.T) {
		v := view(entry("i-1", "m"), entry("i-2", "m"))
		v.NoteBackoff(fleet.Incarnation{ID: "i-1"}, t0, after(time.Hour))
		c := v.Pick(t0, &fleet.Query{Service: "llm", Model: "m", Tried: []core.HostName{"i-2"}})
		assert.Assert(t, c.Host == nil && c.RetryAt.IsZero())
	})
}

package digest_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/digest"
	"radishwell/core/fleet"
)

var (
	t0     = time.Unix(1000, 0)
	first  = netip.MustParseAddrPort("10.1.0.1:80")
	second = netip.MustParseAddrPort("10.1.0.2:80")
)

func host(at netip.AddrPort, taken time.Duration, waiting int, models ...core.HeldModel) digest.Host {
	return digest.Host{Address: at, Report: fleet.Report{Taken: t0.Add(taken), Reachable: true, Waiting: waiting, Models: models}}
}

func wantSince(t *testing.T, table *digest.Table, seen uint64, whole map[netip.AddrPort]bool) {
	t.Helper()
	got := map[netip.AddrPort]bool{}
	for _, u := range table.Since(seen, false) {
		got[u.Address] = u.Whole
	}
	assert.Equal(t, len(got), len(whole))
	for at, w := range whole {
		assert.Equal(t, got[at], w, "%v", at)
	}
}

func TestChanges(t *testing.T) {
	m := core.HeldModel{Model: "m"}
	adapted := core.HeldModel{Model: "m", Adapters: []string{"a1"}}
	var table digest.Table
	table.Put("", host(first, 0, 0, m))
	table.Put("", host(second, 0, 0, m))
	seen, urgent := table.LastChange(), table.LastUrgent()
	t.Run("everything is new to a first poll", func(t *testing.T) {
		wantSince(t, &table, 0, map[netip.AddrPort]bool{first: true, second: true})
	})
	t.Run("an equal report is no change", func(t *testing.T) {
		table.Put("", host(first, time.Millisecond, 0, m))
		assert.Equal(t, table.LastChange(), seen)
	})
	t.Run("a change of figures alone", func(t *testing.T) {
		table.Put("", host(first, 2*time.Millisecond, 3, m))
		wantSince(t, &table, seen, map[netip.AddrPort]bool{first: false})
		assert.Equal(t, table.LastUrgent(), urgent)
	})
	t.Run("a change of adapters is whole and not urgent", func(t *testing.T) {
		table.Put("", host(first, 3*time.Millisecond, 3, adapted))
		wantSince(t, &table, seen, map[netip.AddrPort]bool{first: true})
		assert.Equal(t, table.LastUrgent(), urgent)
	})
	t.Run("a change of models is urgent", func(t *testing.T) {
		table.Put("", host(first, 4*time.Millisecond, 3, m, core.HeldModel{Model: "n"}))
		assert.Assert(t, table.LastUrgent() > urgent)
	})
	t.Run("an older report is ignored", func(t *testing.T) {
		before := table.LastChange()
		table.Put("relay", host(first, 0, 9))
		assert.Equal(t, table.LastChange(), before)
	})
}

// Guards against figures of a new relay that are merged with the report of the old one. The
// result could list a model that the host has unloaded since.
func TestFiguresOfAnotherRelay(t *testing.T) {
	var table digest.Table
	table.Put("old", host(first, 0, 0, core.HeldModel{Model: "m"}))
	figures := digest.Figures{Taken: t0.Add(time.Second), Waiting: 2}
	assert.Assert(t, !table.PutFigures("new", first, figures))
	assert.Assert(t, table.PutFigures("old", first, figures))
	got, _ := table.Host(first)
	assert.Equal(t, got.Report.Waiting, 2)
	assert.Equal(t, len(got.Report.Models), 1)
}

// Guards against an outdated report that a relay keeps fresh. If an agent stalls, its
// host's report must become stale at all entries, also at those that poll a relay which
// itself responds. Otherwise they would route by a queue length that is seconds old.
func TestSilentAgentShowsThroughRelay(t *testing.T) {
	var relay, entry digest.Table
	relay.Put("", host(first, 0, 0))
	relay.Put("", host(second, 0, 0))
	for _, u := range relay.Since(0, true) {
		entry.Put("relay", u.Host)
	}
	now := t0.Add(1200 * time.Millisecond)
	relay.Put("", host(first, 1100*time.Millisecond, 0))
	at, stale := relay.Freshness(now, true)
	assert.Assert(t, slices.Equal(stale, []digest.Stale{{Address: second, Taken: t0}}))
	entry.Renew("relay", at, stale)
	fresh, _ := entry.Host(first)
	assert.Assert(t, fresh.Report.Taken.Equal(t0.Add(1100*time.Millisecond)))
	old, _ := entry.Host(second)
	assert.Assert(t, old.Report.Taken.Equal(t0))
}

func TestKeep(t *testing.T) {
	var table digest.Table
	table.Put("", host(first, 0, 0))
	table.Put("relay", host(second, 0, 0))
	assert.Assert(t, slices.Equal(table.HostsFrom("relay"), []netip.AddrPort{second}))
	source, ok := table.Source(second)
	assert.Assert(t, ok && source == "relay")
	table.Retain(func(a netip.AddrPort) bool { return a == first })
	assert.Equal(t, table.Len(), 1)
	_, ok = table.Source(second)
	assert.Assert(t, !ok)
}

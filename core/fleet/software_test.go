package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
)

// software returns a registry entry of a host that holds the model m, or none if held is unset.
func software(id core.HostName, version core.SoftwareVersion, held bool) fleet.Entry {
	at := netip.MustParseAddrPort("10.0.0." + string(id[2:]) + ":80")
	e := fleet.Entry{ID: id, Service: "llm", Address: at, Usable: true, Software: version, Models: []core.HeldModel{}}
	if held {
		e.Models = append(e.Models, core.HeldModel{Model: "m"})
	}
	return e
}

func softwareView(now time.Time, entries ...fleet.Entry) *fleet.View {
	v := &fleet.View{}
	for _, e := range entries {
		v.Apply(e)
	}
	v.Tick(now)
	return v
}

func continuing(version core.SoftwareVersion) *fleet.Query {
	return &fleet.Query{Service: "llm", Model: "m", Origin: &core.StreamOrigin{Service: "llm", Software: version, Host: "i-1"}}
}

func wantVersions(t *testing.T, v *fleet.View, now time.Time, want ...core.SoftwareVersion) {
	t.Helper()
	assert.DeepEqual(t, v.Versions(now, "llm"), want)
	assert.Equal(t, v.HasSeveralVersions(now, "llm"), len(want) > 1)
}

func TestVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("of listed hosts", func(t *testing.T) {
		wantVersions(t, softwareView(now, software("i-1", "v2", true), software("i-2", "v1", true), software("i-3", "v1", true)), now, "v1", "v2")
	})
	t.Run("of hosts that have gone, while their streams may be in progress", func(t *testing.T) {
		v := softwareView(now, software("i-1", "v1", true), software("i-2", "v2", true))
		v.Remove(now, "i-1")
		v.Tick(now)
		wantVersions(t, v, now, "v1", "v2")
		assert.DeepEqual(t, v.Departed(now), map[fleet.Software]time.Time{{Service: "llm", Version: "v1"}: now.Add(fleet.SoftwareTTL)})
		later := now.Add(fleet.SoftwareTTL)
		wantVersions(t, v, later, "v2")
		assert.Equal(t, len(v.Departed(later)), 0)
	})
	t.Run("of hosts that had gone before this process started", func(t *testing.T) {
		v := softwareView(now, software("i-2", "v2", true))
		v.NoteDeparted(fleet.Software{Service: "llm", Version: "v1"}, now.Add(time.Second))
		wantVersions(t, v, now, "v1", "v2")
		wantVersions(t, v, now.Add(time.Second), "v2")
	})
	t.Run("of a host that starts again under its id", func(t *testing.T) {
		v := softwareView(now, software("i-1", "v1", true), software("i-1", "v2", true))
		wantVersions(t, v, now, "v1", "v2")
	})
	t.Run("of a run whose later entries do not state it", func(t *testing.T) {
		v := softwareView(now, software("i-1", "v1", true), software("i-1", "", true), fleet.Entry{ID: "i-1"})
		wantVersions(t, v, now, "v1")
	})
	t.Run("of a run whose first entries do not state it", func(t *testing.T) {
		wantVersions(t, softwareView(now, software("i-1", "", true), software("i-1", "v1", true)), now, "v1")
	})
}

// Guards against an entry that has just started and takes the versions that are listed for all at
// which streams may have begun.
func TestRecordedVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	v1, v2 := fleet.Software{Service: "llm", Version: "v1"}, fleet.Software{Service: "llm", Version: "v2"}
	t.Run("include those that went before it started", func(t *testing.T) {
		v := softwareView(now, software("i-2", "v2", true))
		v.NoteRecorded(now, []fleet.Software{v1, v2})
		wantVersions(t, v, now, "v1", "v2")
		wantVersions(t, v, now.Add(fleet.SoftwareTTL), "v2")
		assert.Assert(t, v.IsRecorded(v2) && !v.IsRecorded(v1))
	})
	t.Run("are not kept for longer than streams may last", func(t *testing.T) {
		v := softwareView(now, software("i-1", "v1", true), software("i-2", "v2", true))
		v.Remove(now, "i-1")
		v.Tick(now)
		later := now.Add(fleet.SoftwareTTL)
		v.NoteRecorded(later, []fleet.Software{v1, v2})
		wantVersions(t, v, later, "v2")
		assert.DeepEqual(t, v.InService(later), map[fleet.Software]bool{v2: true})
	})
	t.Run("are written again once a version has gone, and after a restore", func(t *testing.T) {
		v := softwareView(now, software("i-1", "v1", true), software("i-2", "v2", true))
		v.NoteRecorded(now, []fleet.Software{v1, v2})
		assert.Assert(t, v.IsRecorded(v1) && v.IsRecorded(v2))
		v.Remove(now, "i-1")
		v.Tick(now)
		v.Apply(software("i-1", "v1", true))
		assert.Assert(t, !v.IsRecorded(v1) && v.IsRecorded(v2))
		v.NoteRestore(now, 2)
		assert.Assert(t, !v.IsRecorded(v2))
	})
}

// Guards against callers who wait for a host of another version, or of a version that has left.
func TestDiscontinued(t *testing.T) {
	now := time.Unix(1000, 0)
	leaving := software("i-1", "v1", true)
	leaving.Leaving = true
	for _, c := range []struct {
		name    string
		entries []fleet.Entry
		want    bool
	}{
		{"its version has left", []fleet.Entry{software("i-2", "v2", true)}, true},
		{"its version leaves", []fleet.Entry{leaving, software("i-2", "v2", true)}, true},
		{"its version does not hold the model", []fleet.Entry{software("i-1", "v1", false), software("i-2", "v2", true)}, true},
		{"its version holds the model", []fleet.Entry{software("i-1", "v1", true), software("i-2", "v2", true)}, false},
		{"one version, which may load the model", []fleet.Entry{software("i-1", "v1", false)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := softwareView(now, c.entries...)
			q := continuing("v1")
			q.Tried = []core.HostName{"i-1"}
			choice := v.Pick(now, q)
			assert.Assert(t, choice.Host == nil || choice.Host.Software == "v1")
			assert.Equal(t, choice.Discontinued, c.want)
		})
	}
	t.Run("its version loads the model", func(t *testing.T) {
		v := softwareView(now, software("i-1", "v1", false), software("i-2", "v2", true))
		v.Report(fleet.Report{ID: "i-1", Taken: now, Loading: "m"})
		assert.Assert(t, !v.Pick(now, continuing("v1")).Discontinued)
	})
	t.Run("a new request", func(t *testing.T) {
		v := softwareView(now, software("i-1", "v1", false), software("i-2", "v2", false))
		assert.Assert(t, !v.Pick(now, &fleet.Query{Service: "llm", Model: "m"}).Discontinued)
	})
}

// Guards against a stream that goes on at a host that states no version and has started again
// under its old ID, maybe at another version.
func TestStreamStaysAtTheRunThatBeganIt(t *testing.T) {
	now := time.Unix(1000, 0)
	for born, goesOn := range map[int64]bool{0: true, 1: false} {
		unstated := software("i-1", "", true)
		unstated.Born = born
		choice := softwareView(now, unstated, software("i-2", "v2", true)).Pick(now, continuing(""))
		assert.Equal(t, choice.Host != nil, goesOn, "born %d", born)
	}
}

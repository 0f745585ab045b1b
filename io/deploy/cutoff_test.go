package deploy_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/fakes/midbox"
	"radishwell/platform/stand"
)

// addLone adds an upstream without an agent that the versionFleet counts.
func (f *versionFleet) addLone(t *testing.T, n int, version string) {
	t.Helper()
	w, at := f.startEngine(t, n, stand.Held{Name: "m-1"})
	w.Events, w.Gap = 20, 50*time.Millisecond
	f.store.Put("servers", w.ID, fmt.Sprintf(
		`{"service":"llm","address":%q,"zone":"dc-1","slots":64,"state":"ready","sequence":0,"version":%q,"models":[{"name":"m-1","version":1}]}`, at, version,
	))
	f.workers[w.ID], f.versions[w.ID] = w, version
}

// Guards against an entry that was cut off from the store and all others while a release began, took itself
// for the only one, and confirmed to itself that there was one version.
func TestEntryCutOffJoinsNoStreams(t *testing.T) {
	f := &versionFleet{fleet: newFleet(t), workers: map[string]*stand.Worker{}, began: map[string]string{}, versions: map[string]string{}}
	f.addLone(t, 1, "v1")
	f.addLone(t, 3, "v1")
	box, err := midbox.New(f.storeAt)
	assert.NilError(t, err)
	defer box.Close()
	direct := f.storeAt
	f.storeAt = box.At()
	apart := f.addEntry(t, "edge-2")
	apart.waitReady(t)
	f.begin(t, apart, "own", "v1")
	clear(f.began)
	box.Cut(midbox.ToServer)
	box.Cut(midbox.ToClient)
	f.storeAt, f.peers = direct, nil
	f.store.Remove("radishwell-entries", "edge-2") // the other entry does not know it either
	other := f.addEntry(t, "edge-1")
	other.waitReady(t)
	f.addLone(t, 2, "v2")
	f.addLone(t, 4, "v2")
	f.begin(t, other, "meanwhile", "v2")
	for id, host := range f.began {
		if f.versions[host] != "v2" {
			delete(f.began, id)
		}
	}
	n := f.takeUpAtOnce(t, apart, "", func() {})
	assert.Assert(t, n.other == 0 && n.refused > 0, "%+v", n)
}

// Guards against streams that are refused while the store is down, although one version serves and all
// entries know it.
func TestStoreOutageWithOneVersionEndsNoStreams(t *testing.T) {
	f := &versionFleet{fleet: newFleet(t), workers: map[string]*stand.Worker{}, began: map[string]string{}, versions: map[string]string{}}
	f.add(t, 1, "v1")
	f.add(t, 3, "v1")
	entries := []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2"), f.addEntry(t, "edge-3")}
	for _, e := range entries {
		e.waitReady(t)
		f.begin(t, e, fmt.Sprint("warm-", e.callers.Port()), "v1")
	}
	clear(f.began)
	f.store.SetFault(stand.Down)
	f.begin(t, entries[0], "q", "v1")
	n := f.takeUpAtOnce(t, entries[1], "", func() {})
	assert.Equal(t, n.same, len(f.began), "%+v", n)
	entries[0].stop()
	n = f.takeUpAtOnce(t, entries[2], "", func() {})
	assert.Equal(t, n.same, len(f.began), "after the entry where they began has ended: %+v", n)
}

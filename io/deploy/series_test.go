package deploy_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// newKilledFleet is a versionFleet whose entries are processes of their own, which are killed after streams have begun.
func newKilledFleet(t *testing.T) *versionFleet {
	t.Helper()
	f := &versionFleet{fleet: newFleet(t), workers: map[string]*stand.Worker{}, began: map[string]string{}, versions: map[string]string{}}
	for n, version := range map[int]string{1: "v1", 2: "v2", 3: "v1", 4: "v2"} {
		f.add(t, n, version)
	}
	entries := []process{f.addEntryProcess(t, "edge-1"), f.addEntryProcess(t, "edge-2")}
	for i, e := range entries {
		e.waitReady(t)
		f.begin(t, e.running, fmt.Sprint("v1-", i), "v1")
		f.begin(t, e.running, fmt.Sprint("v2-", i), "v2")
	}
	for _, e := range entries {
		e.stop()
	}
	return f
}

// Guards against streams that go on at another software version after entries were killed again: before they had read
// the record of versions, or after they had begun streams at the version that is left.
func TestKillsInSeriesJoinNoStreams(t *testing.T) {
	want := func(t *testing.T, f *versionFleet) {
		t.Helper()
		n := f.takeUpAtOnce(t, f.startAgain(t), "v1", func() {})
		assert.Assert(t, n.other == 0 && n.cut == 0 && n.same > 0, "%+v", n)
	}
	t.Run("before they had read the record", func(t *testing.T) {
		f := newKilledFleet(t)
		for range 3 {
			f.store.SetFault(stand.Down)
			e := f.addEntryProcess(t, "edge-1")
			until(t, "the entry answers", func() bool {
				status, _ := get(t, e.operators, "/metrics")
				return status != 0
			})
			e.stop()
			f.store.SetFault(stand.Fine)
		}
		f.remove("v1")
		want(t, f)
	})
	t.Run("after they had begun streams at the version that is left", func(t *testing.T) {
		f := newKilledFleet(t)
		f.remove("v1")
		for n := range 3 {
			e := f.addEntryProcess(t, "edge-1")
			e.waitReady(t)
			f.begin(t, e.running, fmt.Sprint("again-", n), "v2")
			e.stop()
		}
		want(t, f)
	})
	t.Run("between the departure of each upstream", func(t *testing.T) {
		f := newKilledFleet(t)
		for _, id := range []string{"i-1", "i-3"} {
			e := f.addEntryProcess(t, "edge-1")
			e.waitReady(t)
			f.begin(t, e.running, "before-"+id, "v2")
			f.store.Remove("servers", id)
			e.stop()
		}
		want(t, f)
	})
}

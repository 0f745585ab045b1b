package deploy_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/platform/stand"
)

// newReplaced starts two upstreams of the first version and two entries, and begins streams. It returns
// a copy of the store from before the version was recorded as well.
func newReplaced(t *testing.T) (*versionFleet, stand.Copy) {
	t.Helper()
	f := &versionFleet{fleet: newFleet(t), workers: map[string]*stand.Worker{}, began: map[string]string{}, versions: map[string]string{}}
	f.add(t, 1, "v1")
	f.add(t, 3, "v1")
	held := f.store.Copy()
	f.entries = []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
	for i, e := range f.entries {
		e.waitReady(t)
		f.begin(t, e, []string{"one", "two"}[i], "v1")
	}
	return f, held
}

// replace replaces all upstreams in the registry by those of the second version.
func (f *versionFleet) replace(t *testing.T) {
	t.Helper()
	f.remove("v1")
	f.add(t, 2, "v2")
	f.add(t, 4, "v2")
}

// Guards against streams that go on at the version that has replaced theirs while all entries were away.
func TestStreamsOfReplacedVersionAreRefused(t *testing.T) {
	wantRefused := func(t *testing.T, f *versionFleet, e running) {
		t.Helper()
		n := f.takeUpAtOnce(t, e, "v1", func() {})
		assert.Equal(t, n, taken{refused: len(f.began)})
		for id := range f.began {
			for _, w := range f.workers {
				assert.Equal(t, w.Ran("next-"+id), 0, "a refused request ran at %s", w.ID)
			}
		}
	}
	t.Run("the store answers", func(t *testing.T) {
		f, _ := newReplaced(t)
		f.stopEntries()
		f.replace(t)
		wantRefused(t, f, f.startAgain(t))
	})
	for name, fault := range map[string]stand.Fault{"is down": stand.Down, "does not answer": stand.Silent} {
		t.Run("the store "+name+" when the entries come back", func(t *testing.T) {
			f, _ := newReplaced(t)
			f.stopEntries()
			f.replace(t)
			f.store.SetFault(fault)
			e := f.addEntry(t, "edge-1")
			until(t, "the entry answers", func() bool {
				status, _ := get(t, e.operators, "/metrics")
				return status != 0
			})
			wantRefused(t, f, e)
			f.store.SetFault(stand.Fine)
			e.waitReady(t)
			wantRefused(t, f, e)
		})
	}
	t.Run("the record was restored from an older copy before the entries ended", func(t *testing.T) {
		f, held := newReplaced(t)
		f.store.Restore(held)
		f.writeLost()
		until(t, "the version is recorded again", func() bool {
			_, text := get(t, f.storeAt, "/-/objects/"+string(core.KindSoftware)+"/versions")
			return strings.Contains(text, `"llm":["v1"]`)
		})
		f.stopEntries()
		f.replace(t)
		wantRefused(t, f, f.startAgain(t))
	})
}

// Guards against streams that go on at the version that has replaced theirs, since the store was restored from a copy
// without their version while all entries were away.
func TestRestoreWhileEntriesAreAwayJoinsNoStreams(t *testing.T) {
	f, held := newReplaced(t)
	f.stopEntries()
	f.store.Restore(held)
	f.replace(t)
	n := f.takeUpAtOnce(t, f.startAgain(t), "v1", func() {})
	assert.Equal(t, n, taken{refused: len(f.began)})
}

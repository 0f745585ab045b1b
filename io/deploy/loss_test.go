package deploy_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/platform/stand"
)

// taken counts what came of the streams that callers took up again.
type taken struct {
	// same and other went on, at the version where they began and at another one.
	same, other int
	// refused were refused and did not run. refusedServed are those whose version still serves.
	refused, refusedServed int
	// cut were not answered, or not to the end.
	cut int
}

// versionFleet is a fleet with upstreams of two software versions, whose entries have begun streams
// that their callers have left.
type versionFleet struct {
	*fleet
	workers  map[string]*stand.Worker
	versions map[string]string
	entries  []running
	// began has the upstream of each stream, by the attempt that brought its first event.
	began map[string]string
}

// newVersionFleet starts two upstreams of each version and two entries, and begins streams.
func newVersionFleet(t *testing.T) *versionFleet {
	t.Helper()
	f := &versionFleet{
		fleet: newFleet(t), workers: map[string]*stand.Worker{}, began: map[string]string{},
		versions: map[string]string{"i-1": "v1", "i-2": "v2", "i-3": "v1", "i-4": "v2"},
	}
	for n := 1; n <= 4; n++ {
		id := fmt.Sprint("i-", n)
		f.workers[id] = f.addVersion(t, n, f.versions[id])
	}
	f.entries = []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
	for _, e := range f.entries {
		e.waitReady(t)
	}
	used := map[string]bool{}
	for i := range 12 {
		id := fmt.Sprint("q-", i)
		f.began[id] = leaveAfterFirst(t, f.entries[i%len(f.entries)], id)
		used[f.versions[f.began[id]]] = true
	}
	assert.Equal(t, len(used), 2)
	return f
}

// remove removes the upstreams of a version from the registry.
func (f *versionFleet) remove(version string) {
	for id, v := range f.versions {
		if v == version {
			f.store.Remove("servers", id)
		}
	}
}

// stopEntries ends all entries at once.
func (f *versionFleet) stopEntries() { stopAll(f.entries, nil) }

// stopAll ends entries and other processes at once.
func stopAll(entries []running, others []func()) {
	var all sync.WaitGroup
	for _, e := range entries {
		all.Go(e.stop)
	}
	for _, stop := range others {
		all.Go(stop)
	}
	all.Wait()
}

// awaitSaved waits until the store has records of all streams.
func (f *versionFleet) awaitSaved(t *testing.T) {
	t.Helper()
	until(t, "the store has the records of all streams", func() bool {
		_, text := get(t, f.storeAt, "/-/objects/radishwell-origins")
		var list struct {
			Items []struct {
				Spec struct{ Origins []struct{ Keys []byte } }
			}
		}
		assert.NilError(t, json.Unmarshal([]byte(text), &list))
		keys := map[string]bool{}
		for _, item := range list.Items {
			for _, o := range item.Spec.Origins {
				for key := range slices.Chunk(o.Keys, 8) {
					keys[string(key)] = true
				}
			}
		}
		return len(keys) >= len(f.began)
	})
}

// takeUp has the callers take up all streams at an entry. gone is the version whose upstreams have
// left, empty if none has.
func (f *versionFleet) takeUp(t *testing.T, at running, gone string) (n taken) {
	t.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	for id, first := range f.began {
		next := "next-" + id
		resp := chat(t.Context(), t, at, next, "1", id)
		all.Go(func() {
			body, err := io.ReadAll(resp.Body)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.StatusCode == http.StatusOK && f.versions[host(resp)] == f.versions[first]:
				assert.Check(t, strings.Count(string(body), "data: event") == 19, "%s", body)
				n.same++
			case resp.StatusCode == http.StatusOK:
				n.other++
			default:
				assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable, "%d %s", resp.StatusCode, body)
				for _, w := range f.workers {
					assert.Check(t, w.Ran(next) == 0, "a refused request ran at %s", w.ID)
				}
				n.refused++
				if f.versions[first] != gone {
					n.refusedServed++
				}
			}
		})
	}
	all.Wait()
	return n
}

// startAgain starts an entry after all have ended.
func (f *versionFleet) startAgain(t *testing.T) running {
	t.Helper()
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	return e
}

// Guards against streams that do not begin since the store is down, and against versions that are not recorded
// once it is back.
func TestVersionsAreRecordedAfterAnOutage(t *testing.T) {
	f := newFleet(t)
	f.addVersion(t, 1, "v1")
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	f.store.SetFault(stand.Down)
	for i := range 4 {
		leaveAfterFirst(t, e, fmt.Sprint("down-", i))
	}
	assert.Equal(t, f.store.Len(string(core.KindSoftware)), 0)
	f.store.SetFault(stand.Fine)
	n := 0
	until(t, "the version is recorded", func() bool {
		n++
		leaveAfterFirst(t, e, fmt.Sprint("fine-", n))
		return f.store.Len(string(core.KindSoftware)) == 1
	})
}

// Guards against streams that go on at another software version, or are refused although theirs
// still serves, since all entries that knew where they began have ended.
func TestStreamsGoOnAtTheirVersionAfterAllEntriesEnded(t *testing.T) {
	t.Run("both versions serve", func(t *testing.T) {
		f := newVersionFleet(t)
		f.stopEntries()
		assert.Equal(t, f.takeUp(t, f.startAgain(t), ""), taken{same: len(f.began)})
	})
	for name, before := range map[string]bool{"one has gone just before": true, "one has gone meanwhile": false} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFleet(t)
			if before {
				f.remove("v1")
			}
			f.stopEntries()
			f.remove("v1")
			n := f.takeUp(t, f.startAgain(t), "v1")
			assert.Assert(t, n.other == 0 && n.refusedServed == 0 && n.same > 0 && n.refused > 0, "%+v", n)
		})
	}
}

// Guards against streams that are all refused since every process that knew where they began has ended,
// as when all machines lose power at once.
func TestStreamsGoOnAfterAllEntriesAndAgentsEnded(t *testing.T) {
	f := newVersionFleet(t)
	f.awaitSaved(t)
	stopAll(f.entries, f.stopAgents)
	f.startAgentsAgain(t)
	assert.Equal(t, f.takeUp(t, f.startAgain(t), ""), taken{same: len(f.began)})
}

// Guards against a record of versions that cannot be read and is never written again.
func TestDamagedRecordOfVersionsIsReplaced(t *testing.T) {
	f := newFleet(t)
	f.addVersion(t, 1, "v1")
	f.store.Put(string(core.KindSoftware), "versions", `{"services":7}`)
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	until(t, "the record can be read", func() bool {
		leaveAfterFirst(t, e, fmt.Sprint("q-", time.Now().UnixNano()))
		_, text := get(t, f.storeAt, "/-/objects/"+string(core.KindSoftware)+"/versions")
		return strings.Contains(text, `"llm":["v1"]`)
	})
}

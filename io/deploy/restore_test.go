package deploy_test

import (
	"fmt"
	"net/http"
	"testing"

	"radishwell/platform/stand"
)

// tableOf returns a version of the routing table that has a route of its own.
func tableOf(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
	 {"name":"r-1","host":"a.example","path_prefix":"/chat/","route_kind":"streaming","timeout_ms":30000,"target_latency_ms":800,"service":"llm","max_attempts":2,"resumable":true},
	 {"name":"r-2","host":"a.example","path_prefix":"/v%d/","route_kind":"idempotent","timeout_ms":5000,"target_latency_ms":800,"service":"plain","max_attempts":2}],
	 "services":[{"name":"plain","health_path":"/healthz"},{"name":"llm","engine":{"slots":64,"weights_mb":200,"adapter_slots":2,"loads_per_s":4,"models":[
	  {"name":"m-1","weights_mb":70,"load_s":0.1,"warm_s":0.1,"disk_s":0.1,"adapters":2,"adapter_mb":1}]}}]}`, version, version)
}

// startPlain starts an upstream of the plain service, registers it and returns its address.
func (f *fleet) startPlain(t *testing.T, n int) (w *stand.Worker, at string) {
	t.Helper()
	w = &stand.Worker{ID: fmt.Sprintf("p-%d", n), Plain: true}
	at = serve(t, "127.0.0.1", w).String()
	f.registerPlain(w.ID, at, "ready")
	return w, at
}

func (f *fleet) registerPlain(id, address, state string) {
	f.store.Put("servers", id, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"dc-1","slots":6,"state":%q,"sequence":0}`, address, state))
}

// hasTable reports whether an entry has a version of tableOf in force.
func hasTable(t *testing.T, e running, version int) bool {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", e.callers, version), nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Radishwell-Request-Id", fmt.Sprint("v", version))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeLost writes changes of the registry that the next restore of an earlier copy undoes.
func (f *fleet) writeLost() {
	for i := range 20 {
		f.registerPlain("busy", fmt.Sprint("127.0.0.1:", i+1), "draining")
	}
	f.store.Remove("servers", "busy")
}

// Guards against entries that stay behind a store that was restored from a copy until its
// revisions have overtaken those that they hold.
func TestRestoredStoreIsFollowed(t *testing.T) {
	f := newFleet(t)
	f.store.Put("config", "main", tableOf(2))
	f.startPlain(t, 1)
	entries := []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
	apart := *f
	apart.storeAt = freePort(t, entryHost) // an entry that only reaches other entries
	entries = append(entries, apart.addEntry(t, "edge-3"))
	for _, e := range entries {
		e.waitReady(t)
	}
	version := 2
	for _, name := range []string{"the first restore", "the second restore"} {
		t.Run(name, func(t *testing.T) {
			held := f.store.Copy()
			version++
			f.store.Put("config", "main", tableOf(version))
			f.writeLost()
			for _, e := range entries {
				until(t, "the entry has the table before the restore", func() bool { return hasTable(t, e, version) })
			}
			f.store.Restore(held)
			version++
			f.store.Put("config", "main", tableOf(version))
			for _, e := range entries {
				until(t, "the entry has the table after the restore", func() bool { return hasTable(t, e, version) })
			}
		})
	}
}

// Guards against requests to upstreams that are said to leave after the store was restored.
func TestLeavingAfterRestoreIsSeen(t *testing.T) {
	f := newFleet(t)
	f.store.Put("config", "main", tableOf(2))
	w, at := f.startPlain(t, 1)
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	until(t, "the upstream gets requests", func() bool { return hasTable(t, e, 2) })
	held := f.store.Copy()
	f.writeLost()
	lost, _ := f.startPlain(t, 0)
	until(t, "the entry has read the registry", func() bool { return hasTable(t, e, 2) && len(lost.Requests()) > 0 })
	f.store.Restore(held)
	f.registerPlain(w.ID, at, "draining")
	until(t, "no upstream gets requests", func() bool { return !hasTable(t, e, 2) })
}

// Guards against records that are lost when the store is restored from a copy: an entry
// without one is not found by others, and an engine whose agent has none is taken for one
// without an agent.
func TestLostRecordsAreWrittenAgain(t *testing.T) {
	f := newFleet(t)
	_, at := f.startEngine(t, 1, stand.Held{Name: "m-1"})
	held := f.store.Copy()
	f.addAgent(t, 1, at)
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	kinds := []string{"radishwell-entries", "radishwell-agents"}
	recorded := func() {
		for _, kind := range kinds {
			until(t, "there is a record of kind "+kind, func() bool { return f.store.Len(kind) == 1 })
		}
	}
	recorded()
	wantChat(t, e, "q-1", "m-2")
	f.store.Restore(held)
	recorded()
	until(t, "the agent orders its engine again", func() bool {
		status, _ := sendChat(t, e, "q-2", "m-1/a1")
		return status == http.StatusOK
	})
}

package deploy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/io/fakes/ports"
	"radishwell/platform/stand"
)

// addPlain starts an upstream of a plain service and makes that the only one of the table.
func (f *fleet) addPlain(t *testing.T, n int) *stand.Worker {
	t.Helper()
	w := &stand.Worker{ID: fmt.Sprintf("i-%d", n), Plain: true}
	at := serve(t, ports.Host(n).String(), w)
	f.store.Put("servers", w.ID, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"dc-1","slots":6,"state":"ready","sequence":0}`, at))
	f.store.Put("config", "main", `{"version":2,"routes":[
	 {"name":"r-1","host":"a.example","path_prefix":"/chat/","route_kind":"non_idempotent","timeout_ms":30000,"target_latency_ms":800,"service":"plain","max_attempts":1}],
	 "services":[{"name":"plain"}]}`)
	return w
}

// Guards against an entry that learns by its own requests alone that an upstream leaves,
// while others know it and the registry does not.
func TestOthersHearOfLeaving(t *testing.T) {
	f := newFleet(t)
	w := f.addPlain(t, 1)
	first, second := f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")
	first.ready(t)
	second.ready(t)
	w.Leave()
	status, _ := chat(t, first, "q-1", "")
	assert.Equal(t, status, http.StatusOK)
	w.Set(stand.Lost) // no answer tells the second entry
	n := 0
	until(t, "the second entry knows", func() bool {
		n++
		status, body := chat(t, second, fmt.Sprint("q-2-", n), "")
		return status == http.StatusServiceUnavailable && strings.Contains(body, "no-host")
	})
}

package deploy_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/io/fakes/ports"
	"radishwell/platform/stand"
)

// addPlain starts an upstream of a service without models, which becomes the only service
// in the routing table.
func (f *fleet) addPlain(t *testing.T, n int) *stand.Worker {
	t.Helper()
	w, _ := f.startOnlyPlain(t, n)
	return w
}

// startOnlyPlain is addPlain, and returns the upstream's address as well.
func (f *fleet) startOnlyPlain(t *testing.T, n int) (*stand.Worker, netip.AddrPort) {
	t.Helper()
	w := &stand.Worker{ID: fmt.Sprintf("i-%d", n), Plain: true}
	at := serve(t, ports.Host(n).String(), w)
	f.store.Put("servers", w.ID, fmt.Sprintf(`{"service":"plain","address":%q,"zone":"dc-1","slots":6,"state":"ready","sequence":0}`, at))
	f.store.Put("config", "main", `{"version":2,"routes":[
	 {"name":"r-1","host":"a.example","path_prefix":"/chat/","route_kind":"non_idempotent","timeout_ms":30000,"target_latency_ms":800,"service":"plain","max_attempts":1}],
	 "services":[{"name":"plain"}]}`)
	return w, at
}

// Guards against entries that do not notify each other of an upstream that announces in a
// response that it is leaving. The registry does not show it.
func TestOthersHearOfLeaving(t *testing.T) {
	f := newFleet(t)
	w := f.addPlain(t, 1)
	first, second := f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")
	first.waitReady(t)
	second.waitReady(t)
	w.AnnounceLeaving()
	status, _ := sendChat(t, first, "q-1", "")
	assert.Equal(t, status, http.StatusOK)
	w.SetFault(stand.NoResponse) // so that no response announces it to the second entry
	n := 0
	until(t, "the second entry knows", func() bool {
		n++
		status, body := sendChat(t, second, fmt.Sprint("q-2-", n), "")
		return status == http.StatusServiceUnavailable && strings.Contains(body, "no-host")
	})
}

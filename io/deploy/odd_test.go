package deploy_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// putOdd puts objects of another writer into each kind that processes read.
func (f *fleet) putOdd(prefix string) {
	deep := strings.Repeat("[", 9997) + strings.Repeat("]", 9997)
	for _, kind := range []string{
		"config", "servers", "radishwell-agents", "radishwell-demand", "radishwell-entries", "radishwell-orders",
		"radishwell-quarantine", "radishwell-crashes", "radishwell-software", "radishwell-origins",
	} {
		f.store.Put(kind, prefix+"-deep", `{"x":`+deep+`}`)
		f.store.Put(kind, prefix+"-number", `{"slots":1e400,"born":9223372036854775808}`)
		f.store.Put(kind, prefix+"-null", `null`)
		f.store.Put(kind, prefix+"-text", "\"\xff\xfe\"")
		f.store.Put(kind, prefix+"-list", `[]`)
	}
	host := `{"service":"llm","zone":"dc-1","slots":64,"state":"ready","address":`
	f.store.Put("servers", prefix+"-port", host+`"127.0.0.1:70000"}`)
	f.store.Put("servers", prefix+"-none", host+`"0.0.0.0:80"}`)
}

// Guards against entries by another writer that keep processes from starting, or from following the store:
// one that was nested deeply did both.
func TestOddObjectsStopNoProcess(t *testing.T) {
	for when, before := range map[string]bool{"there before processes start": true, "added while they run": false} {
		t.Run(when, func(t *testing.T) {
			f := newFleet(t)
			if before {
				f.putOdd("a")
				f.putOdd("z")
			}
			f.addUpstream(t, 1, stand.Held{Name: "m-1"})
			entries := []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
			for _, e := range entries {
				e.waitReady(t)
				wantChat(t, e, "q-"+e.callers.String(), "m-1")
			}
			if !before {
				f.putOdd("a")
				f.putOdd("z")
			}
			late := f.addUpstream(t, 2, stand.Held{Name: "m-2"})
			f.store.Remove("servers", "i-1")
			for _, e := range entries {
				n := 0
				until(t, "a host that registers later is used", func() bool {
					n++
					status, _ := sendChat(t, e, fmt.Sprint("q-", e.callers, n), "m-2")
					return status == http.StatusOK
				})
			}
			assert.Assert(t, len(late.Requests()) > 0)
		})
	}
}

// putBeside registers another host at the address of one, of a service and in a state.
func (f *fleet) putBeside(at netip.AddrPort, service, state string) {
	f.store.Put("servers", "odd", fmt.Sprintf(`{"service":%q,"address":%q,"zone":"dc-1","slots":64,"state":%q,"sequence":0}`, service, at, state))
}

// foreignEntries are entries whose services no routing table names, as service and state.
var foreignEntries = map[string][2]string{"unknown service": {"other", "ready"}, "leaving": {"other", "draining"}, "empty service": {"", "ready"}}

// Guards against entries of services that no routing table names at the addresses of all hosts: no request was
// served while they stood there.
func TestEntriesOfUnservedServiceEndNoService(t *testing.T) {
	for name, entry := range foreignEntries {
		t.Run("plain service, "+name, func(t *testing.T) {
			f := newFleet(t)
			_, at := f.startOnlyPlain(t, 1)
			f.putBeside(at, entry[0], entry[1])
			e := f.addEntry(t, "edge-1")
			e.waitReady(t)
			assert.Equal(t, f.countServed(t, e, ""), 10, "there from the start")
			f.store.Remove("servers", "odd")
			assert.Equal(t, f.countServed(t, e, ""), 10, "without the entry")
			f.putBeside(at, entry[0], entry[1])
			assert.Equal(t, f.countServed(t, e, ""), 10, "added")
		})
		t.Run("service with models, "+name, func(t *testing.T) {
			f := newFleet(t)
			w, at := f.startEngine(t, 1, stand.Held{Name: "m-1"})
			w.Unnamed = true
			f.putBeside(at, entry[0], entry[1])
			f.addAgent(t, 1, at)
			e := f.addEntry(t, "edge-1")
			e.waitReady(t)
			assert.Equal(t, f.countServed(t, e, "m-1"), 10)
			wantChat(t, e, "q-load", "m-2")
		})
	}
}

// countServed sends ten requests to an entry, one after the other, and returns how many are served.
func (f *fleet) countServed(t *testing.T, e running, model string) (served int) {
	t.Helper()
	for range 10 {
		f.sent++
		if status, _ := sendChat(t, e, fmt.Sprint("q-", f.sent), model); status == http.StatusOK {
			served++
		}
	}
	return served
}

// Guards against an entry of another writer at the address of a sound host, which takes that host for ended.
func TestEntryAtAddressOfSoundHostEndsNoService(t *testing.T) {
	f := newFleet(t)
	_, at := f.startEngine(t, 1, stand.Held{Name: "m-1"})
	f.addAgent(t, 1, at)
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	wantChat(t, e, "q-0", "m-1")
	f.store.Put("servers", "odd", fmt.Sprintf(`{"service":"llm","address":%q,"zone":"dc-1","slots":64,"state":"ready","sequence":0,"models":[{"name":"m-1"}]}`, at))
	assert.Equal(t, f.countServed(t, e, "m-1"), 10)
}

// Guards against valid entries of another writer that take sound hosts out of service without any request that
// could show who runs there, or while there are no retries.
func TestSoundEntriesOfOthersEndNoService(t *testing.T) {
	for name, entry := range map[string][2]string{"ready": {"plain", "ready"}, "leaving": {"plain", "draining"}, "another service": {"llm", "ready"}} {
		t.Run("plain service, "+name, func(t *testing.T) {
			f := newFleet(t)
			w, at := f.startPlain(t, 1)
			f.store.Put("config", "main", tableOf(2))
			f.putBeside(netip.MustParseAddrPort(at), entry[0], entry[1])
			e := f.addEntry(t, "edge-1")
			e.waitReady(t)
			served := 0
			for range 20 {
				if hasTable(t, e, 2) {
					served++
				}
			}
			assert.Equal(t, served, 20)
			assert.Assert(t, len(w.Requests()) <= 21, "a wrong guess is not made again")
		})
	}
	t.Run("a host that does not state its ID to its agent", func(t *testing.T) {
		f := newFleet(t)
		w, at := f.startEngine(t, 1, stand.Held{Name: "m-1"})
		w.Unnamed = true
		f.addAgent(t, 1, at)
		e := f.addEntry(t, "edge-1")
		e.waitReady(t)
		f.putBeside(at, "llm", "ready")
		assert.Equal(t, f.countServed(t, e, "m-1"), 10)
		wantChat(t, e, "q-load", "m-2")
	})
}

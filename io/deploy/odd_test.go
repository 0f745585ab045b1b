package deploy_test

import (
	"fmt"
	"net/http"
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

// Guards against an entry of another writer at the address of a sound host, which takes that host for ended.
func TestEntryAtAddressOfSoundHostEndsNoService(t *testing.T) {
	f := newFleet(t)
	_, at := f.startEngine(t, 1, stand.Held{Name: "m-1"})
	f.addAgent(t, 1, at)
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	wantChat(t, e, "q-0", "m-1")
	f.store.Put("servers", "odd", fmt.Sprintf(`{"service":"llm","address":%q,"zone":"dc-1","slots":64,"state":"ready","sequence":0,"models":[{"name":"m-1"}]}`, at))
	served := 0
	for n := range 10 {
		status, _ := sendChat(t, e, fmt.Sprint("q-", n+1), "m-1")
		if status == http.StatusOK {
			served++
		}
	}
	assert.Equal(t, served, 10)
}

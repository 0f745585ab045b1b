package deploy_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// Guards against an entry that starts and uses its part of the spare retries, while an upstream stands still
// that its predecessor has sent requests to and that the registry lists no more.
func TestSuccessorWaitsForUnlistedUpstreams(t *testing.T) {
	f := newFleet(t)
	f.retrySpan, f.retrySpare = time.Second, 30
	f.addUpstream(t, 1, stand.Held{Name: "m-1"})
	still, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { still.Close() })
	f.store.Put("radishwell-entries", "edge-1", fmt.Sprintf(`{"control":"127.0.0.1:9","data-centre":"dc-1","unread":[{"service":"llm","host":"i-9","address":%q}]}`, still.Addr()))
	e := f.addEntry(t, "edge-1")
	e.waitReady(t)
	spare := func(want string) bool {
		_, text := get(t, e.operators, "/metrics")
		return strings.Contains(text, "radishwell_spare_retries "+want+"\n")
	}
	for range 40 {
		assert.Assert(t, !spare("30"))
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(t, still.Close())
	until(t, "the upstream is known to have ended", func() bool { return spare("30") })
}

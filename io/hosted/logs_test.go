package hosted_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/io/cmds"
	"radishwell/io/hosted"
)

const entryLog = `I0704 21:06:30.000000   12 proxy.go:92] "Routing table is in force" event="RW1801" version=7 routes=17
I0704 21:06:36.500000   12 planner.go:9] "Agent follows a new goal for its upstream" event="RW1806" host="i-1" load="m-2" waiting=1
I0704 21:06:37.000000   12 call.go:9] "Request has its answer" event="RW1804" request="other" host="i-1" model="m-2"
W0704 21:06:38.000000   12 call.go:9] "Request ended without a whole answer and may have run" event="RW1502" request="q-1" host="i-1" model="m-2"
`

const agentLog = `some other line
 -3.2 side-1 I0704 21:06:10.000000   13 order.go:78] "Load of a model or adapter starts" event="RW1301" model="m-2" from="store"
I0704 21:06:36.600000   13 order.go:78] "Load of a model or adapter starts" event="RW1301" model="m-2" from="disk"
`

// Explaining a request must work with its id and the logs alone, since the processes may no
// longer be running.
func TestExplainFromLogs(t *testing.T) {
	dir := t.TempDir()
	entry, agent := filepath.Join(dir, "edge-1.log"), filepath.Join(dir, "side-1.log")
	assert.NilError(t, os.WriteFile(entry, []byte(entryLog), 0o600))
	assert.NilError(t, os.WriteFile(agent, []byte(agentLog), 0o600))
	explain := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		status := cmds.Radishwell(append([]string{"explain"}, args...), &out, &errs, hosted.Signals{})
		assert.Equal(t, status, want, errs.String())
		return out.String()
	}
	got := explain(0, "request", "q-1", "--logs", entry+","+agent)
	assert.Assert(t, strings.HasPrefix(got, "the request:\nedge-1.log: W0704 21:06:38"), got)
	assert.Assert(t, strings.Contains(got, "RW1806") && strings.Contains(got, "21:06:36.600000"), got)
	assert.Assert(t, !strings.Contains(got, "RW1804") && !strings.Contains(got, "21:06:10") && !strings.Contains(got, "RW1801"), got)
	assert.Equal(t, strings.Count(explain(0, "model", "m-2", "--logs", entry+","+agent), "\n"), 5)
	explain(1, "request", "nobody", "--logs", entry)
	explain(1, "request", "q-1", "--logs", filepath.Join(dir, "absent.log"))
	explain(1, "request", "q-1")
}

const lossesLog = `I0704 21:06:37.000000   12 log.go:9] "Request has its answer" event="RW1804" request="q-1" took="5s" sends=1 ran=1 route="r-1" target="2s" waited="2.5s" first="3s" longest-pause="10ms" pause-target="200ms"
I0704 21:06:38.000000   12 log.go:9] "Request has its answer" event="RW1804" request="q-2" took="60ms" sends=1 ran=1 route="r-1" target="2s" left-out=4
W0704 21:06:39.000000   12 log.go:9] "Request is refused" event="RW1501" request="q-3" took="8.1s" sends=0 ran=0 route="r-1" target="2s" waited="8.1s" err="wait-too-long (not-run): no upstream host could run the request in its time"
W0704 21:06:39.000000   12 log.go:9] "Request is refused" event="RW1501" request="q-4" took="0s" sends=0 ran=0 err="unknown-path (not-run): no route"
I0704 21:06:40.000000   12 log.go:9] "Request has its answer" event="RW1804" request="q-5" to
I0704 21:06:40.000000   12 log.go:9] "Routing table is in force" event="RW1801" version=7 routes=17
a line of another writer
`

// Lost and late requests must be counted by route and cause from logs alone, including a log
// whose last line is truncated since the process was killed.
func TestLossesFromLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "edge-1.log")
	assert.NilError(t, os.WriteFile(file, []byte(lossesLog), 0o600))
	var out, errs bytes.Buffer
	assert.Equal(t, cmds.Radishwell([]string{"losses", file}, &out, &errs, hosted.Signals{}), 0, errs.String())
	assert.Equal(t, out.String(), `route  cause                                      requests  of the route's
r-1    in time                                    1         33.3%
r-1    late: no copy of the model, or on its way  1         33.3%
r-1    refused when its time was over, untried    1         33.3%
r-1    lost or late in all                        2         66.7%
requests without a route 1, lines that could not be read 1, lines that the processes left out 4
`)
}

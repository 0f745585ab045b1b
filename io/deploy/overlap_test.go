package deploy_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/platform/stand"
)

// eventIDs matches the ids of the events of a stream.
var eventIDs = regexp.MustCompile(`(?m)^id: (\d+)$`)

// wantEvents checks that a body has the events from first to 20 at a version, in order.
func wantEvents(t *testing.T, body, version string, first int) {
	t.Helper()
	var want, got []string
	for n := first; n <= 20; n++ {
		want = append(want, fmt.Sprint(n))
	}
	for _, m := range eventIDs.FindAllStringSubmatch(body, -1) {
		got = append(got, m[1])
	}
	assert.DeepEqual(t, got, want)
	assert.Equal(t, strings.Count(body, " at "+version+"\n"), len(want), "%s", body)
}

// Guards against a stream that is disturbed, or goes on at two versions, since its caller takes it up at another entry
// while the first answer runs and moves to another upstream.
func TestTakeUpElsewhereBesideTheFirstAnswer(t *testing.T) {
	f := &versionFleet{fleet: newFleet(t), workers: map[string]*stand.Worker{}, began: map[string]string{}, versions: map[string]string{}}
	f.retrySpan, f.retrySpare = time.Second, 80
	for n, version := range map[int]string{1: "v1", 2: "v2", 3: "v1", 4: "v2"} {
		f.add(t, n, version)
		f.workers[fmt.Sprint("i-", n)].SetSoftware(version)
	}
	for _, id := range []string{"i-1", "i-2"} { // the other one of each version goes on with what they break off
		f.workers[id].SetFault(stand.Truncated)
	}
	entries := []running{f.addEntry(t, "edge-1"), f.addEntry(t, "edge-2")}
	for _, e := range entries {
		e.waitReady(t)
		until(t, "the entry may send streams once more", func() bool {
			_, text := get(t, e.operators, "/metrics")
			return strings.Contains(text, "radishwell_spare_retries 40\n")
		})
	}
	moved := 0
	for n := range 4 {
		id := fmt.Sprint("q-", n)
		first := chat(t.Context(), t, entries[0], id, "", "")
		version := f.versions[host(first)]
		in := bufio.NewReader(first.Body)
		beginning := ""
		for !strings.HasSuffix(beginning, "id: 3\n") {
			line, err := in.ReadString('\n')
			assert.NilError(t, err)
			beginning += line
		}
		ended := make(chan string, 1)
		next := chat(t.Context(), t, entries[1], "next-"+id, "2", id)
		go func() {
			body, err := io.ReadAll(next.Body)
			assert.Check(t, err)
			ended <- string(body)
		}()
		rest, err := io.ReadAll(in)
		assert.NilError(t, err)
		wantEvents(t, beginning+string(rest), version, 1)
		assert.Equal(t, next.StatusCode, http.StatusOK)
		wantEvents(t, <-ended, version, 3)
		ran := 0
		for _, w := range f.workers {
			ran += w.Ran(id)
		}
		if ran > 1 {
			moved++
		}
	}
	assert.Assert(t, moved > 0, "no first answer has moved")
}

package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// TestStreamsEndedByEntry checks that a stream without framing may end in order only after its
// upstream has ended it.
func TestStreamsEndedByEntry(t *testing.T) {
	result := Result{ID: "q", Route: Stream, Status: http.StatusOK, Unframed: true, Body: stream(3)}
	seen := func(ended bool) []stand.ReceivedRequest {
		return []stand.ReceivedRequest{{Header: plat.RequestHeader(requestHead(result, "m", time.Time{}), time.Time{}), Ended: ended}}
	}
	wantBroken(t, endedByEntry([]Result{result}, seen(false)), 1)
	wantBroken(t, endedByEntry([]Result{result}, seen(true)), 0)
	result.Unframed = false
	wantBroken(t, endedByEntry([]Result{result}, seen(false)), 0)
}

// TestResumedAfterLoss checks which streams count as broken off by a loss of all entries.
func TestResumedAfterLoss(t *testing.T) {
	start := time.Unix(1000, 0)
	v1 := versionChange{start.Add(-time.Minute), "v1"}
	hosts := []*upstream{{versions: []versionChange{v1}}, {versions: []versionChange{v1}}, {}, {}}
	results := attempts("q", "v1", "v1")
	results[0].Began, results[0].Ended = 10*time.Second, 11*time.Second
	results[1].Began, results[1].Ended, results[1].Status = 11500*time.Millisecond, 12*time.Second, http.StatusOK
	fresh := Result{ID: "new", Route: Resumed, Customer: "free", Status: http.StatusOK, Body: eventsAt(1, 3, "v1"), Began: 12 * time.Second, Ended: 13 * time.Second}
	results = append(results, fresh)
	loss := Step{Kind: KillEntries, Begin: 10500 * time.Millisecond, End: 10500 * time.Millisecond}
	t.Run("counted", func(t *testing.T) {
		c := &signalChecker{start: start, steps: []Step{loss}}
		assert.Equal(t, c.resumedAfterLoss(results, hosts), Resumptions{TakenUp: 1, WentOn: 1, New: 1, Begun: 1})
	})
	t.Run("not before it is saved", func(t *testing.T) {
		c := &signalChecker{start: start, steps: []Step{loss}, saved: time.Second}
		assert.Equal(t, c.resumedAfterLoss(results, hosts).TakenUp, 0)
	})
	t.Run("not without a loss", func(t *testing.T) {
		c := &signalChecker{start: start}
		assert.Equal(t, c.resumedAfterLoss(results, hosts), Resumptions{})
	})
	t.Run("not beside another fault", func(t *testing.T) {
		c := &signalChecker{start: start, steps: []Step{loss, {Kind: StoreDown, Begin: 11 * time.Second, End: 12 * time.Second}}}
		assert.Equal(t, c.resumedAfterLoss(results, hosts), Resumptions{})
	})
}

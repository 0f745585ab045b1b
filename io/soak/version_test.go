package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eventsAt returns the events of a stream from one to another, made at a version.
func eventsAt(from, to int, version string) []byte {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d at %s\n\n", i, i, version)
	}
	return []byte(b.String())
}

// attempts returns a caller's two attempts at a stream, at two versions.
func attempts(id, first, second string) []Result {
	return []Result{
		{ID: id, Route: Resumed, Customer: "free", Body: eventsAt(1, 3, first)},
		{ID: id + "+0", Route: Resumed, Customer: "free", Body: eventsAt(4, streamEvents, second), After: 3, First: id, Text: "body of " + id},
	}
}

func wantBroken(t *testing.T, found []Breach, want int) {
	t.Helper()
	assert.Equal(t, len(found), want, "%v", found)
}

// TestMixedVersions checks that streams of several versions are found in one answer and over
// the attempts of a caller.
func TestMixedVersions(t *testing.T) {
	var results []Result
	for i := range 10 {
		results = append(results, attempts(fmt.Sprint("same-", i), "v1", "v1")...)
	}
	wantBroken(t, mixedVersions(results), 0)
	results = append(results, attempts("q-1", "v1", "v2")...)
	one := Result{ID: "q-2", Route: Resumed, Body: append(eventsAt(1, 3, "v1"), eventsAt(4, 6, "v2")...)}
	results = append(results, one)
	assert.Equal(t, len(mixed(results)), 2)
	wantBroken(t, mixedVersions(results), 0)
	wantBroken(t, mixedVersions(append(results, attempts("q-3", "v2", "v1")...)), 1)
}

// TestLostResumptions checks which streams count as taken up again, and that too few of them
// going on breaks the promise.
func TestLostResumptions(t *testing.T) {
	start := time.Unix(1000, 0)
	engine := func(versions ...versionChange) *upstream { return &upstream{versions: versions} }
	v1, v2 := versionChange{start.Add(-time.Minute), "v1"}, versionChange{start.Add(-time.Minute), "v2"}
	hosts := []*upstream{engine(v1), engine(v1), engine(v2), engine(v2, versionChange{start.Add(2 * time.Second), "v1"})}
	results := attempts("q", "v1", "v1")
	for i := range results {
		results[i].Began, results[i].Ended = 10*time.Second, 11*time.Second
	}
	want := Resumptions{TakenUp: 1, WentOn: 1, New: 1, Begun: 1}
	t.Run("counted", func(t *testing.T) {
		c := &signalChecker{start: start}
		assert.Equal(t, c.resumptions(results, hosts), want)
	})
	t.Run("not while a host of the version is disturbed and one other serves", func(t *testing.T) {
		disturbance := Step{Kind: HangRequests, Target: 0, Begin: 9500 * time.Millisecond, End: 10 * time.Second}
		c := &signalChecker{start: start, steps: []Step{disturbance}}
		assert.Equal(t, c.resumptions(results, hosts), want, "three hosts have the version by then")
		assert.Equal(t, c.resumptions(results, []*upstream{hosts[0], hosts[1], hosts[2], hosts[2]}).TakenUp, 0)
	})
	t.Run("not at entries out of touch", func(t *testing.T) {
		c := &signalChecker{start: start, steps: []Step{{Kind: StoreDown, Begin: 8 * time.Second, End: 9 * time.Second}}}
		assert.Equal(t, c.resumptions(results, hosts), Resumptions{})
	})
	t.Run("half of them may be lost", func(t *testing.T) {
		wantBroken(t, Resumptions{TakenUp: 12, WentOn: 6, New: 10, Begun: 10}.lost(), 0)
		wantBroken(t, Resumptions{TakenUp: 12, WentOn: 5, New: 10, Begun: 10}.lost(), 1)
		wantBroken(t, Resumptions{TakenUp: 11, WentOn: 0, New: 10, Begun: 10}.lost(), 0)
		wantBroken(t, Resumptions{TakenUp: 12, WentOn: 4, New: 10, Begun: 6}.lost(), 0)
	})
}

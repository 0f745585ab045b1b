package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/place"
)

type naiveReport struct {
	until time.Time
	work  map[core.ModelName]float64
}

// naiveSums adds up the reports that still count at a time.
func naiveSums(reports map[core.HostName]naiveReport, at time.Time) map[core.ModelName]float64 {
	sums := map[core.ModelName]float64{}
	for _, r := range reports {
		if at.After(r.until) {
			continue
		}
		for name, n := range r.work {
			sums[name] += n
		}
	}
	return sums
}

// Summing all reports at each report took half a core of the decider with 400
// entries. The running sums must equal the naive ones, and nothing may remain of
// entries that no longer report.
func TestSumsAgainstNaive(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var sums place.Sums
	naive := map[core.HostName]naiveReport{}
	reported := map[core.ModelName]float64{}
	for range 5000 {
		now = now.Add(time.Duration(r.IntN(400)) * time.Millisecond)
		entry := core.HostName(fmt.Sprint("entry-", r.IntN(12)))
		work := map[core.ModelName]float64{}
		for range r.IntN(4) {
			work[core.ModelName(fmt.Sprint("model-", r.IntN(6)))] = r.Float64() * 10
		}
		until := now.Add(3 * time.Second)
		naive[entry] = naiveReport{until, work}
		for _, name := range sums.SetReport(now, until, entry, work) {
			reported[name] = sums.Of(name)
		}
		// Sums removes expired reports once a second, and the next step of this test may
		// be another 0.4 s away.
		least, most := naiveSums(naive, now), naiveSums(naive, now.Add(-1400*time.Millisecond))
		for i := range 6 {
			name := core.ModelName(fmt.Sprint("model-", i))
			assert.Equal(t, reported[name], sums.Of(name), "SetReport did not return a changed model")
			got := sums.Of(name)
			assert.Assert(t, got >= least[name]-0.1 && got <= most[name]+0.1, "%s %v %v %v", name, least[name], got, most[name])
		}
	}
	now = now.Add(time.Hour)
	sums.SetReport(now, now.Add(time.Second), "entry-new", nil)
	assert.Equal(t, len(sums.Names()), 0)
	live := map[core.ModelName]float64{"model-1": 1.5}
	assert.DeepEqual(t, sums.SetReport(now, now.Add(time.Second), "a", live), []core.ModelName{"model-1"})
	sums.SetReport(now, now.Add(time.Second), "b", live)
	assert.Equal(t, math.Round(sums.Of("model-1")*100)/100, 3.0)
}

// BenchmarkSums measures one report where 400 entries report 70 models each.
func BenchmarkSums(b *testing.B) {
	var sums place.Sums
	now := time.Unix(1000, 0)
	work := map[core.ModelName]float64{}
	for i := range 70 {
		work[core.ModelName(fmt.Sprint("model-", i))] = 1
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(5 * time.Millisecond)
		work["model-1"] = float64(i % 7)
		sums.SetReport(now, now.Add(7*time.Second), core.HostName(fmt.Sprint("entry-", i%400)), work)
	}
}

package demand

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/copies"
	"radishwell/core/rtable"
)

// Guards against a rise in demand that no single entry can see. A hundred entries share the
// requests for a model, with one or two each, so by its own moving averages each entry sees
// only occasional requests. Only the sum of the arrivals shows the rise.
func TestMovedDemandShowsInTheSum(t *testing.T) {
	t0 := time.Unix(1000, 0)
	ask := &core.RequestHead{Prompt: 9000, Answer: 60}
	engine := &rtable.Service{Batch: 64}
	var fleet Fleet
	sum := copies.Demand{}
	for i := range 100 {
		var own Tracker
		at := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		own.NoteRequest(at, "m", time.Second, ask, engine)
		fleet.Add(at, own.TakeArrivals())
		sum = sum.Add(own.All(t0.Add(2 * time.Second))["m"])
	}
	all := fleet.All(t0.Add(2 * time.Second))["m"]
	assert.Assert(t, all.Rate > 3*sum.Rate, "%+v in the sum, %+v by the entries' own averages", all, sum)
	assert.Assert(t, math.Abs(all.Work-sum.Work) < 0.01)
	assert.Assert(t, math.Abs(all.Hasty-sum.Hasty) < 0.01)
}

func TestFleet(t *testing.T) {
	t0 := time.Unix(1000, 0)
	everybody := func(core.HostName) bool { return true }
	t.Run("arrivals are taken once", func(t *testing.T) {
		var b Tracker
		b.NoteRequest(t0, "m", time.Second, &core.RequestHead{}, &rtable.Service{})
		assert.Equal(t, b.TakeArrivals()["m"].Count, 1)
		assert.Equal(t, len(b.TakeArrivals()), 0)
	})
	t.Run("waiting requests are summed, and new only once", func(t *testing.T) {
		var f Fleet
		assert.Assert(t, f.SetWaiting(t0, "a", map[core.ModelName]Waits{"m": {Count: 2}}))
		assert.Assert(t, !f.SetWaiting(t0, "a", map[core.ModelName]Waits{"m": {Count: 3}}))
		assert.Assert(t, f.SetWaiting(t0, "b", map[core.ModelName]Waits{"m": {Count: 1}}))
		assert.Equal(t, f.Waiting(t0, everybody)["m"].Count, 4)
		assert.Equal(t, f.All(t0)["m"].Waiting, 4)
		assert.Equal(t, f.Waiting(t0, func(n core.HostName) bool { return n == "b" })["m"].Count, 1)
	})
	t.Run("versions at which streams wait to continue are merged, and new only once", func(t *testing.T) {
		var f Fleet
		waits := func(versions ...core.SoftwareVersion) map[core.ModelName]Waits {
			return map[core.ModelName]Waits{"m": {Count: 1, Continuing: versions}}
		}
		assert.Assert(t, f.SetWaiting(t0, "a", waits()))
		assert.Assert(t, f.SetWaiting(t0, "a", waits("v2")))
		assert.Assert(t, !f.SetWaiting(t0, "a", waits("v2")))
		assert.Assert(t, f.SetWaiting(t0, "b", waits("v1", "v2")))
		assert.DeepEqual(t, f.All(t0)["m"].Continuing, []core.SoftwareVersion{"v1", "v2"})
	})
	t.Run("waiting requests of a lost entry are forgotten", func(t *testing.T) {
		var f Fleet
		f.SetWaiting(t0, "a", map[core.ModelName]Waits{"m": {Count: 2}})
		assert.Equal(t, len(f.Waiting(t0.Add(2*time.Second), everybody)), 0)
	})
	t.Run("a model without demand is forgotten", func(t *testing.T) {
		var f Fleet
		f.Add(t0, map[core.ModelName]Arrivals{"m": {Count: 1}})
		assert.Equal(t, len(f.All(t0.Add(10*time.Minute))), 0)
		assert.Equal(t, len(f.models), 0)
	})
}

// BenchmarkFleet measures the computation of a fleet's demand, which the planner does four
// times a second, for 430 and 3,470 models.
func BenchmarkFleet(b *testing.B) {
	for _, models := range []int{430, 3470} {
		b.Run(fmt.Sprint(models), func(b *testing.B) {
			t0 := time.Unix(1000, 0)
			var f Fleet
			for i := range models {
				f.Add(t0, map[core.ModelName]Arrivals{core.ModelName(fmt.Sprint("m-", i)): {Count: 1, Work: 0.1}})
			}
			for b.Loop() {
				f.All(t0)
			}
		})
	}
}

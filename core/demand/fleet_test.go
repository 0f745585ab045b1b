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

// A hundred entries share the requests for a model that is suddenly asked for. No entry
// sees more than one or two of them, and by its own averages of seconds each calls it
// one asked for now and then; only the sum shows that demand has moved.
func TestMovedDemandShowsInTheSum(t *testing.T) {
	t0 := time.Unix(1000, 0)
	ask := &core.RequestHead{Prompt: 9000, Answer: 60}
	engine := &rtable.Service{Batch: 64}
	var fleet Fleet
	sum := copies.Demand{}
	for i := range 100 {
		var own Book
		at := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		own.Asked(at, "m", time.Second, ask, engine)
		fleet.Add(at, own.Take())
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
		var b Book
		b.Asked(t0, "m", time.Second, &core.RequestHead{}, &rtable.Service{})
		assert.Equal(t, b.Take()["m"].Count, 1)
		assert.Equal(t, len(b.Take()), 0)
	})
	t.Run("waits are summed, and news once", func(t *testing.T) {
		var f Fleet
		assert.Assert(t, f.Wait(t0, "a", map[core.ModelName]int{"m": 2}))
		assert.Assert(t, !f.Wait(t0, "a", map[core.ModelName]int{"m": 3}))
		assert.Assert(t, f.Wait(t0, "b", map[core.ModelName]int{"m": 1}))
		assert.Equal(t, f.Waiting(t0, everybody)["m"], 4)
		assert.Equal(t, f.All(t0)["m"].Waiting, 4)
		assert.Equal(t, f.Waiting(t0, func(n core.HostName) bool { return n == "b" })["m"], 1)
	})
	t.Run("what an entry that is lost waited for is forgotten", func(t *testing.T) {
		var f Fleet
		f.Wait(t0, "a", map[core.ModelName]int{"m": 2})
		assert.Equal(t, len(f.Waiting(t0.Add(2*time.Second), everybody)), 0)
	})
	t.Run("what is asked for no longer is forgotten", func(t *testing.T) {
		var f Fleet
		f.Add(t0, map[core.ModelName]Arrivals{"m": {Count: 1}})
		assert.Equal(t, len(f.All(t0.Add(10*time.Minute))), 0)
		assert.Equal(t, len(f.models), 0)
	})
}

// BenchmarkFleet measures the demand of a fleet as the planner reads it, four times a
// second, at 430 and 3,470 models.
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

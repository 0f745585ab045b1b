package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/rtable"
)

func TestDemand(t *testing.T) {
	t0 := time.Unix(1000, 0)
	ask := &core.RequestHead{Prompt: 3040, Answer: 280} // 0.1 s of an engine with 64 places
	engine := &rtable.Service{Batch: 64, PromptMemory: 260_000}
	book := func() *Book { return &Book{} }
	t.Run("one request is no rise", func(t *testing.T) {
		// Models asked for once in ten seconds each displaced each other by turns: the
		// one asked for last seemed to be asked for five times as often as the others.
		b := book()
		b.Asked(t0, "m", time.Second, ask, engine)
		assert.Assert(t, b.All(t0)["m"].Rate < 0.06)
	})
	t.Run("several within seconds are", func(t *testing.T) {
		b := book()
		for i := range 12 {
			b.Asked(t0.Add(time.Duration(i)*150*time.Millisecond), "m", time.Second, ask, engine)
		}
		d := b.All(t0.Add(2 * time.Second))["m"]
		assert.Assert(t, d.Rate > 2 && d.Hasty > 0.4 && d.Work > 0.2, "%+v", d)
	})
	t.Run("who bears a swap is not hasty", func(t *testing.T) {
		b := book()
		b.Asked(t0, "m", 2500*time.Millisecond, ask, engine)
		assert.Equal(t, b.All(t0)["m"].Hasty, 0.0)
	})
	t.Run("what is asked for no longer is forgotten", func(t *testing.T) {
		b := book()
		b.Asked(t0, "m", time.Second, ask, engine)
		assert.Equal(t, len(b.All(t0.Add(10*time.Minute))), 0)
		assert.Equal(t, len(b.models), 0)
	})
	t.Run("work is what has to be read and made", func(t *testing.T) {
		ask := &core.RequestHead{Prompt: 9000, Answer: 400, Parts: []core.PromptPart{{ID: "a", Tokens: 6000}, {ID: "own", Tokens: 3000}}}
		d := &model{}
		assert.Equal(t, d.workOf(ask, &rtable.Service{Batch: 20}), 4200/readPace+400*firstStep/20)
		assert.Equal(t, d.workOf(ask, &rtable.Service{Batch: 64, PromptMemory: 94_000}), 4200/readPace+400*firstStep/10)
	})
	t.Run("work falls with what engines run at once and how fast they are", func(t *testing.T) {
		// A chat model on engines that run 96 requests at once got four copies, as if
		// it were on engines that run 20, and eight other models had no place.
		ask := &core.RequestHead{Prompt: 715, Answer: 282}
		d := &model{}
		before := d.workOf(ask, &rtable.Service{Batch: 20})
		assert.Assert(t, d.workOf(ask, &rtable.Service{Batch: 96, PromptMemory: 159_000}) < before/2)
		b := book()
		b.Made("m", 282, 400*time.Millisecond)
		assert.Assert(t, b.of("m").workOf(ask, &rtable.Service{Batch: 20}) < before/2)
	})
	t.Run("one stream that was held up says little of the engine", func(t *testing.T) {
		b := book()
		b.Made("m", 100, 500*time.Millisecond)
		b.Made("m", 100, time.Minute)
		assert.Assert(t, b.of("m").step < 0.01)
		b.Made("m", 0, time.Second)
		b.Made("m", 10, 0)
		assert.Assert(t, b.of("m").step < 0.01)
	})
}

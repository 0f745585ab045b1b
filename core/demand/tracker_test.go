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
	ask := &core.RequestHead{Prompt: 3040, Answer: 280} // 0.1 s of an engine that runs 64 requests at once
	engine := &rtable.Service{Batch: 64, PromptMemory: 260_000}
	newTracker := func() *Tracker { return &Tracker{} }
	t.Run("one request is not a rise in demand", func(t *testing.T) {
		// Models with one request in ten seconds each displaced each other in turn, since
		// the one with the latest request seemed to have five times the demand of the
		// others.
		b := newTracker()
		b.NoteRequest(t0, "m", time.Second, ask, engine)
		assert.Assert(t, b.All(t0)["m"].Rate < 0.06)
	})
	t.Run("several within seconds are a rise", func(t *testing.T) {
		b := newTracker()
		for i := range 12 {
			b.NoteRequest(t0.Add(time.Duration(i)*150*time.Millisecond), "m", time.Second, ask, engine)
		}
		d := b.All(t0.Add(2 * time.Second))["m"]
		assert.Assert(t, d.Rate > 2 && d.Hasty > 0.4 && d.Work > 0.2, "%+v", d)
	})
	t.Run("a request that can wait for a load from disk is not hasty", func(t *testing.T) {
		b := newTracker()
		b.NoteRequest(t0, "m", 2500*time.Millisecond, ask, engine)
		assert.Equal(t, b.All(t0)["m"].Hasty, 0.0)
	})
	t.Run("a model without demand is forgotten", func(t *testing.T) {
		b := newTracker()
		b.NoteRequest(t0, "m", time.Second, ask, engine)
		assert.Equal(t, len(b.All(t0.Add(10*time.Minute))), 0)
		assert.Equal(t, len(b.models), 0)
	})
	t.Run("work is prefill and generation", func(t *testing.T) {
		ask := &core.RequestHead{Prompt: 9000, Answer: 400, Parts: []core.PromptPart{{ID: "a", Tokens: 6000}, {ID: "own", Tokens: 3000}}}
		d := &modelDemand{}
		assert.Equal(t, d.workOf(ask, &rtable.Service{Batch: 20}), 4200/prefillRate+400*initialTokenTime/20)
		assert.Equal(t, d.workOf(ask, &rtable.Service{Batch: 64, PromptMemory: 94_000}), 4200/prefillRate+400*initialTokenTime/10)
	})
	t.Run("work depends on the batch and the speed of engines", func(t *testing.T) {
		// A chat model on engines that run 96 requests at once got four copies, as if they
		// ran 20, and there was no room for eight other models.
		ask := &core.RequestHead{Prompt: 715, Answer: 282}
		d := &modelDemand{}
		before := d.workOf(ask, &rtable.Service{Batch: 20})
		assert.Assert(t, d.workOf(ask, &rtable.Service{Batch: 96, PromptMemory: 159_000}) < before/2)
		b := newTracker()
		b.NoteStream("m", 282, 400*time.Millisecond)
		assert.Assert(t, b.model("m").workOf(ask, &rtable.Service{Batch: 20}) < before/2)
	})
	t.Run("one delayed stream has little effect", func(t *testing.T) {
		b := newTracker()
		b.NoteStream("m", 100, 500*time.Millisecond)
		b.NoteStream("m", 100, time.Minute)
		assert.Assert(t, b.model("m").tokenTime < 0.01)
		b.NoteStream("m", 0, time.Second)
		b.NoteStream("m", 10, 0)
		assert.Assert(t, b.model("m").tokenTime < 0.01)
	})
}

package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

func TestDemand(t *testing.T) {
	t0 := time.Unix(1000, 0)
	book := func() *demandBook { return &demandBook{models: map[core.ModelName]*modelDemand{}} }
	t.Run("one request is no rise", func(t *testing.T) {
		// Models asked for once in ten seconds each displaced each other by turns: the
		// one asked for last seemed to be asked for five times as often as the others.
		b := book()
		b.asked(t0, "m", time.Second, 0.1)
		assert.Assert(t, b.all(t0)["m"].Rate < 0.06)
	})
	t.Run("several within seconds are", func(t *testing.T) {
		b := book()
		for i := range 12 {
			b.asked(t0.Add(time.Duration(i)*150*time.Millisecond), "m", time.Second, 0.1)
		}
		d := b.all(t0.Add(2 * time.Second))["m"]
		assert.Assert(t, d.Rate > 2 && d.Hasty > 0.4 && d.Work > 0.2, "%+v", d)
	})
	t.Run("who bears a swap is not hasty", func(t *testing.T) {
		b := book()
		b.asked(t0, "m", 2500*time.Millisecond, 0.1)
		assert.Equal(t, b.all(t0)["m"].Hasty, 0.0)
	})
	t.Run("what is asked for no longer is forgotten", func(t *testing.T) {
		b := book()
		b.asked(t0, "m", time.Second, 0.1)
		assert.Equal(t, len(b.all(t0.Add(10*time.Minute))), 0)
		assert.Equal(t, len(b.models), 0)
	})
	t.Run("work is what has to be read and made", func(t *testing.T) {
		ask := &core.Ask{Prompt: 9000, Answer: 400, Parts: []core.PromptPart{{ID: "a", Tokens: 6000}, {ID: "own", Tokens: 3000}}}
		assert.Equal(t, workOf(ask), 4200/readPace+400*tokenWork)
	})
}

package length_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/length"
)

var source = length.Source{Route: "chat", Model: "m", Customer: "alpha"}

// within asserts that a foreseen length is within a tenth of the wanted one.
func within(t *testing.T, got, want int) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(got-want)) <= 0.1*float64(want), "%d, want about %d", got, want)
}

func TestForesee(t *testing.T) {
	t.Run("nothing known: the estimate, else the maximum", func(t *testing.T) {
		var f length.Tracker
		assert.Equal(t, f.Foresee(source, 0, 800), length.Foreseen{Usual: 800, High: 800})
		assert.Equal(t, f.Foresee(source, 90, 800), length.Foreseen{Usual: 90, High: 800})
		assert.Equal(t, f.Foresee(source, 9000, 800), length.Foreseen{Usual: 800, High: 800})
	})
	t.Run("no estimate: as long as earlier answers", func(t *testing.T) {
		var f length.Tracker
		for i := range 130 {
			f.Note(source, 100+i%10*20, 0)
		}
		got := f.Foresee(source, 0, 800)
		within(t, got.Usual, 200)
		within(t, got.High, 270)
	})
	t.Run("a customer's own answers count, then the route's", func(t *testing.T) {
		var f length.Tracker
		other := length.Source{Route: "chat", Model: "m", Customer: "beta"}
		for range 20 {
			f.Note(source, 50, 0)
			f.Note(other, 400, 0)
		}
		within(t, f.Foresee(source, 0, 800).Usual, 50)
		within(t, f.Foresee(other, 0, 800).Usual, 400)
		within(t, f.Foresee(length.Source{Route: "chat", Model: "n", Customer: "alpha"}, 0, 800).Usual, 50)
	})
	t.Run("answers that change are followed", func(t *testing.T) {
		var f length.Tracker
		for i := range 300 {
			f.Note(source, 50+i/150*350, 0)
		}
		within(t, f.Foresee(source, 0, 800).Usual, 400)
	})
}

// TestEstimatesTooHigh, TestEstimatesTooLow and TestEstimatesOfNoUse: callers' estimates are wrong,
// and engines would get too little work, or more than they have room for.
func TestEstimatesTooHigh(t *testing.T) { assertCorrected(t, 4) }

// TestEstimatesTooLow: see TestEstimatesTooHigh.
func TestEstimatesTooLow(t *testing.T) { assertCorrected(t, 0.25) }

func assertCorrected(t *testing.T, factor float64) {
	t.Helper()
	var f length.Tracker
	for i := range 100 {
		tokens := 40 + i%20*30
		f.Note(source, tokens, int(float64(tokens)*factor))
	}
	within(t, f.Foresee(source, int(200*factor), 4000).Usual, 200)
}

// TestEstimatesOfNoUse: see TestEstimatesTooHigh.
func TestEstimatesOfNoUse(t *testing.T) {
	var f length.Tracker
	for i := range 100 {
		f.Note(source, 200+i%3, 10+i%7*300)
	}
	within(t, f.Foresee(source, 1900, 4000).Usual, 200)
	within(t, f.Foresee(source, 10, 4000).Usual, 200)
}

// TestLengthsOutOfRange: an engine or a caller reports lengths that make no sense.
func TestLengthsOutOfRange(t *testing.T) {
	var f length.Tracker
	for _, n := range []int{0, -5, math.MinInt, math.MaxInt32, math.MaxInt32} {
		f.Note(source, n, -n)
		f.Note(source, n, 1)
	}
	got := f.Foresee(source, math.MaxInt32, 100)
	assert.Assert(t, got.Usual >= 1 && got.High <= 100, "%v", got)
}

// TestManySources: customers and models come and go by the thousand, and what is kept of them
// must not grow with them.
func TestManySources(t *testing.T) {
	var f length.Tracker
	for i := range 5000 {
		f.Note(length.Source{Route: "chat", Model: core.ModelName(fmt.Sprint(i))}, 10, 10)
	}
	within(t, f.Foresee(length.Source{Route: "chat", Model: "new"}, 0, 800).Usual, 10)
}

// BenchmarkForesee is the cost of one decision.
func BenchmarkForesee(b *testing.B) {
	var f length.Tracker
	for i := range 200 {
		f.Note(source, 100+i%50, 200)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Foresee(source, 150, 800)
	}
}

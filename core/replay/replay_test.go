package replay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// deployments are the generated traces with the worth of waiting, relative to the
// default. The waits of Evenings count four times. Those of WorkingDays count
// once, as the callers of that deployment own the accelerators.
var deployments = []struct {
	trace Trace
	scale float64
}{
	{Evenings(1), 4},
	{WorkingDays(1), 1},
}

func TestNoFixedTimeIsBetter(t *testing.T) {
	for _, f := range deployments {
		t.Run(f.trace.Name, func(t *testing.T) {
			results := Compare(f.trace, f.scale)
			ours := results[5]
			for _, r := range results[:5] {
				assert.Assert(t, !r.Better(ours), "%s is better: %+v and ours %+v", r.Policy, r, ours)
			}
		})
	}
}

func TestReplayIsRepeatable(t *testing.T) {
	a, b := Compare(Evenings(7), 1), Compare(Evenings(7), 1)
	for i := range a {
		assert.Equal(t, fmt.Sprint(a[i]), fmt.Sprint(b[i]))
	}
}

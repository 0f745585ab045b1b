package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/retry"
)

// Guards against second attempts that are answered no sooner than the first, for which the budget is then missing.
func TestSecondAttemptOnlyWhereSooner(t *testing.T) {
	const ms = time.Millisecond
	steady := func(d time.Duration) (l retry.Latencies) {
		for range 100 {
			l.Add(d)
		}
		return l
	}
	var few, tail retry.Latencies
	for range 7 {
		few.Add(50 * ms)
	}
	for i := range 64 {
		tail.Add(50 * ms)
		if i%4 == 0 {
			tail.Add(500 * ms)
		}
	}
	for name, test := range map[string]struct {
		latencies    retry.Latencies
		waited, left time.Duration
		want         retry.Hope
	}{
		"nothing is known":                          {retry.Latencies{}, 400 * ms, 400 * ms, retry.Unknown},
		"little is known":                           {few, 400 * ms, 400 * ms, retry.Unknown},
		"more than half of the time, as all":        {steady(420 * ms), 400 * ms, 400 * ms, retry.Slower},
		"later than all":                            {steady(60 * ms), 400 * ms, 400 * ms, retry.Sooner},
		"later than all, too late for another":      {steady(420 * ms), 500 * ms, 300 * ms, retry.Slower},
		"some need long, a second one is faster":    {tail, 100 * ms, 700 * ms, retry.Sooner},
		"some need long, this one is about to come": {tail, 460 * ms, 700 * ms, retry.Slower},
		"just sent": {tail, 0, 800 * ms, retry.Slower},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.latencies.Second(test.waited, test.left), test.want) })
	}
	changed := steady(60 * ms)
	for range 2 {
		changed.Add(420 * ms)
	}
	assert.Equal(t, changed.Second(400*ms, 400*ms), retry.Slower, "upstreams have become slower")
}

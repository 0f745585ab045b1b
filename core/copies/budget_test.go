package copies_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/copies"
)

// The deployment allows the rate of the weight store, a tenth more, and three loads in each window.
const (
	ceilingWindow = 5 * time.Second
	ceilingRatio  = 1.1
	ceilingSlack  = 3
)

// storeLoads plays hosts that lose each load at once and ask for it again, and returns when loads from
// the weight store were ordered. A new process becomes the planner whenever replaced reports it.
func storeLoads(rate float64, length time.Duration, replaced func(step int) bool) []time.Time {
	const interval = 100 * time.Millisecond
	s := service(60)
	s.LoadsPerSecond = rate
	p := &copies.Planner{Parallel: 100}
	var starts []time.Time
	for step := range int(length / interval) {
		now := t0.Add(time.Duration(step) * interval)
		if replaced(step) {
			p = &copies.Planner{Parallel: 100, Since: now}
		}
		var hosts []*copies.Host
		for i := range 60 {
			hosts = append(hosts, host(fmt.Sprintf("h-%d-%d", step, i), nil))
		}
		for range p.Plan(now, s, hosts, nil) {
			starts = append(starts, now)
		}
	}
	return starts
}

// mostInWindow returns the largest number of loads that begin within one window.
func mostInWindow(starts []time.Time) int {
	most := 0
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(starts[i]) < ceilingWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against planners that each order what the weight store allows, so that after a restart or a
// change of planner more loads begin in a window than the store allows.
func TestSuccessorsShareRateOfStore(t *testing.T) {
	replacements := map[string]func(step int) bool{
		"none":                     func(int) bool { return false },
		"after a burst":            func(step int) bool { return step == 3 },
		"within the window":        func(step int) bool { return step == 40 },
		"again and again":          func(step int) bool { return step%7 == 5 },
		"after every decision":     func(step int) bool { return step > 0 },
		"after a window each time": func(step int) bool { return step > 0 && step%50 == 0 },
	}
	for when, replaced := range replacements {
		for _, rate := range []float64{0.1, 1.6, 4, 20} {
			t.Run(fmt.Sprintf("%s at %v loads a second", when, rate), func(t *testing.T) {
				most := mostInWindow(storeLoads(rate, 20*time.Second, replaced))
				assert.Assert(t, float64(most) <= rate*ceilingWindow.Seconds()*ceilingRatio+ceilingSlack, "%d loads", most)
			})
		}
	}
}

// Guards against an entry that stops planning, plans again, and counts the time in which another entry
// ordered loads as time without loads.
func TestPlannerThatReturnsHasNoLoadsSaved(t *testing.T) {
	p := &copies.Planner{Parallel: 100}
	hosts := []*copies.Host{host("a", nil), host("b", nil)}
	p.Plan(t0, service(60), nil, nil)
	p.Since = t0.Add(time.Minute)
	wantMoves(t, p.Plan(p.Since, service(60), hosts, nil))
}

// Guards against a limit that leaves the store idle.
func TestRateOfStoreIsUsed(t *testing.T) {
	starts := storeLoads(1.6, 50*time.Second, func(step int) bool { return step == 0 })
	assert.Equal(t, len(starts), 71) // 1.6 a second for 50 s, of which nine tenths are used
}

package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/admit"
)

// paceWindow is the window over which upstreams that name a rate are watched here.
const paceWindow = 4 * time.Second

// reserve has a request for an upstream come to an entry.
func (f *fleet) reserve(i int, rate float64) {
	if !f.runs(i) {
		return
	}
	m := f.entries[i]
	keeper := m.keeper
	if m.current != i && f.reaches(i, m.current) {
		keeper = f.entries[m.current].keeper
	}
	if at, ok := keeper.Reserve(f.now, "u", rate, len(f.entries), f.now.Add(admit.MostAhead)); ok {
		f.used = append(f.used, use{at, 1})
	}
}

// pressPace asks for several times the rate for a while.
func (f *fleet) pressPace(r *rand.Rand, d time.Duration, rate float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.renewAll()
		for f.due += (3*rate + 5) * tick.Seconds(); f.due > 0; f.due-- {
			f.reserve(r.IntN(len(f.entries)), rate)
		}
	}
}

// mostSent returns the most requests that were sent within any window.
func (f *fleet) mostSent() (most int) {
	slices.SortFunc(f.used, func(a, b use) int { return a.at.Compare(b.at) })
	first := 0
	for i, u := range f.used {
		for u.at.Sub(f.used[first].at) >= paceWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an upstream that gets less than the rate that it names, or more, while
// all entries press.
func TestPaceIsTheRate(t *testing.T) {
	for _, n := range sizes {
		for _, rate := range []float64{0.5, 1, 2.5, 20} {
			t.Run(fmt.Sprint(n, " entries, rate ", rate), func(t *testing.T) {
				r, f := source(1), newFleet(n, limitOf(0))
				f.pressPace(r, 3*time.Second, rate)
				f.used = nil
				f.pressPace(r, 40*time.Second, rate)
				assert.Assert(t, float64(len(f.used)) >= 0.95*40*rate, len(f.used))
				assert.Assert(t, float64(f.mostSent()) <= paceWindow.Seconds()*rate+1, f.mostSent())
			})
		}
	}
}

// Guards against an upstream that gets more than half as much again as the rate that it
// names, and five requests, while entries die, freeze, are cut off and start again.
func TestPaceHoldsUnderFaults(t *testing.T) {
	seeds := map[int]uint64{5: 40, 24: 20, 103: 4}
	for n, count := range seeds {
		for _, rate := range []float64{0.5, 1, 5, 20} {
			for seed := range count {
				t.Run(fmt.Sprint(n, " entries, rate ", rate, ", seed ", seed), func(t *testing.T) {
					r, f := source(seed+10), newFleet(n, limitOf(0))
					f.pressPace(r, 2*time.Second, rate)
					for range 15 {
						f.fault(r)
						f.pressPace(r, time.Duration(100+r.IntN(2500))*time.Millisecond, rate)
					}
					most := 1.5*rate*paceWindow.Seconds() + 5
					assert.Assert(t, float64(f.mostSent()) <= most, "%d of %v", f.mostSent(), most)
				})
			}
		}
	}
}

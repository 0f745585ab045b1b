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

// paceWindow is the window over which the requests to an upstream are counted
// in these tests.
const paceWindow = 4 * time.Second

// reserve makes a reservation for a request that arrives at an entry.
func (f *fleet) reserve(i int, rate float64) {
	if !f.runs(i) {
		return
	}
	m := f.entries[i]
	keeper := m.keeper
	if m.keeperIndex != i && f.reaches(i, m.keeperIndex) {
		keeper = f.entries[m.keeperIndex].keeper
	}
	if at, ok := keeper.Reserve(f.now, "u", rate, len(f.entries), f.now.Add(admit.MaxAhead)); ok {
		f.used = append(f.used, usage{at, 1})
	}
}

// overload requests more than three times the rate for a duration.
func (f *fleet) overload(r *rand.Rand, d time.Duration, rate float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.renewAll()
		for f.pending += (3*rate + 5) * tick.Seconds(); f.pending > 0; f.pending-- {
			f.reserve(r.IntN(len(f.entries)), rate)
		}
	}
}

// maxSent returns the largest number of requests sent within any window.
func (f *fleet) maxSent() (most int) {
	slices.SortFunc(f.used, func(a, b usage) int { return a.at.Compare(b.at) })
	first := 0
	for i, u := range f.used {
		for u.at.Sub(f.used[first].at) >= paceWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// This test guards against an upstream that gets fewer or more requests than
// the rate that it names while all entries are overloaded.
func TestPaceIsTheRate(t *testing.T) {
	for _, n := range sizes {
		for _, rate := range []float64{0.5, 1, 2.5, 20} {
			t.Run(fmt.Sprint(n, " entries, rate ", rate), func(t *testing.T) {
				r, f := newRand(1), newFleet(n, allowanceOf(0))
				f.overload(r, 3*time.Second, rate)
				f.used = nil
				f.overload(r, 40*time.Second, rate)
				assert.Assert(t, float64(len(f.used)) >= 0.95*40*rate, len(f.used))
				assert.Assert(t, float64(f.maxSent()) <= paceWindow.Seconds()*rate+1, f.maxSent())
			})
		}
	}
}

// While entries crash, freeze, are isolated and restart, an upstream must not
// get more than one and a half times the rate that it names plus five requests.
func TestPaceHoldsUnderFaults(t *testing.T) {
	seeds := map[int]uint64{5: 40, 24: 20, 103: 4}
	for n, count := range seeds {
		for _, rate := range []float64{0.5, 1, 5, 20} {
			for seed := range count {
				t.Run(fmt.Sprint(n, " entries, rate ", rate, ", seed ", seed), func(t *testing.T) {
					r, f := newRand(seed+10), newFleet(n, allowanceOf(0))
					f.overload(r, 2*time.Second, rate)
					for range 15 {
						f.injectFault(r)
						f.overload(r, time.Duration(100+r.IntN(2500))*time.Millisecond, rate)
					}
					most := 1.5*rate*paceWindow.Seconds() + 5
					assert.Assert(t, float64(f.maxSent()) <= most, "%d of %v", f.maxSent(), most)
				})
			}
		}
	}
}

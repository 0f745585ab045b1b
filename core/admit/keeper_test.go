package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/admit"
)

const (
	renewInterval = 250 * time.Millisecond
	leaseTime     = 650 * time.Millisecond
	tick          = 20 * time.Millisecond
)

var tolerance = admit.Tolerance{Window: 8 * time.Second, Ratio: 0.1, Slack: 110_000}

// fleet simulates entries that count the use of one customer together while
// faults occur.
type fleet struct {
	now     time.Time
	limit   admit.Allowance
	entries []*simEntry
	// names lists the entries in the order in which they are chosen.
	names []core.HostName
	// isolated marks entries that reach no other entry.
	isolated map[int]bool
	// independent is set if every entry counts for itself.
	independent bool
	used        []usage
	requested   float64
	admitted    float64
	// pending is the number of units that the load still has to request.
	pending float64
}

type usage struct {
	at    time.Time
	units float64
}

type simEntry struct {
	name        core.HostName
	keeper      *admit.Keeper
	chooser     admit.Chooser
	keeperIndex int
	nextRenewal time.Time
	// frozenUntil and downUntil are the ends of the last freeze and of the last
	// downtime. An entry that freezes keeps its state, one that goes down does not.
	frozenUntil, downUntil time.Time
}

func newFleet(n int, limit admit.Allowance) *fleet {
	f := &fleet{now: time.Unix(1000, 0), limit: limit, isolated: map[int]bool{}}
	for i := range n {
		f.names = append(f.names, core.HostName(fmt.Sprintf("e-%03d", i)))
		f.entries = append(f.entries, &simEntry{name: f.names[i]})
		f.restart(i, f.now)
	}
	return f
}

// restart replaces an entry with a new one that starts at the given time.
func (f *fleet) restart(i int, at time.Time) {
	m := f.entries[i]
	*m = simEntry{name: m.name, keeperIndex: i, downUntil: at, keeper: &admit.Keeper{Tolerance: tolerance, Since: at, Seed: uint64(i)}}
}

func (f *fleet) runs(i int) bool {
	return !f.now.Before(f.entries[i].frozenUntil) && !f.now.Before(f.entries[i].downUntil)
}

func (f *fleet) reaches(i, j int) bool {
	return i == j || !f.isolated[i] && !f.isolated[j] && f.runs(j)
}

// renewAll renews the leases of all running entries, as the loop of an entry
// does.
func (f *fleet) renewAll() {
	if f.independent {
		return
	}
	for i, m := range f.entries {
		if !f.runs(i) || f.now.Before(m.nextRenewal) {
			continue
		}
		m.nextRenewal = f.now.Add(renewInterval)
		j, _ := slices.BinarySearch(f.names, m.chooser.Choose(f.now, f.names[:i+1]))
		if old := m.keeperIndex; old != j && old != i && f.reaches(i, old) && (j == i || f.reaches(i, j)) {
			f.entries[old].keeper.EndLease(m.name)
		}
		switch {
		case j == i:
			m.keeperIndex = i
		case f.reaches(i, j):
			m.chooser.RecordResponse(f.entries[j].name)
			f.entries[j].keeper.Renew(f.now, m.name, f.now.Add(leaseTime))
			m.keeper.Delegate(f.now, f.now.Add(leaseTime))
			m.keeperIndex = j
		default:
			m.chooser.RecordFailure(f.now, f.entries[j].name)
			m.nextRenewal = f.now // The next entry is tried at once.
		}
	}
}

// offer sends a request to an entry and reports whether it was admitted.
func (f *fleet) offer(i int, units float64) bool {
	if !f.runs(i) {
		return false
	}
	m := f.entries[i]
	keeper := m.keeper
	if m.keeperIndex != i && f.reaches(i, m.keeperIndex) {
		keeper = f.entries[m.keeperIndex].keeper
	}
	f.requested += units
	_, ok := keeper.Take(f.now, "c", f.limit, len(f.entries), units)
	if ok {
		f.used = append(f.used, usage{f.now, units})
		f.admitted += units
	}
	return ok
}

// worstWindow returns the most units admitted in any window, relative to the
// permitted maximum.
func (f *fleet) worstWindow() float64 {
	bound := (f.limit.Rate*tolerance.Window.Seconds()+f.limit.Burst)*(1+tolerance.Ratio) + tolerance.Slack
	most, sum, first := 0.0, 0.0, 0
	for _, u := range f.used {
		sum += u.units
		for u.at.Sub(f.used[first].at) >= tolerance.Window {
			sum -= f.used[first].units
			first++
		}
		most = max(most, sum)
	}
	return most / bound
}

// simulate runs the fleet for a duration with requests of the given rate in
// units per second, at the entries that pick returns.
func (f *fleet) simulate(r *rand.Rand, d time.Duration, rate float64, pick func() int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.renewAll()
		for f.pending += rate * tick.Seconds() * 2 * r.Float64(); f.pending > 0; {
			units := []float64{200, 1100, 9200, 9200, 40_000 * r.Float64()}[r.IntN(5)]
			f.offer(pick(), units)
			f.pending -= units
		}
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func allowanceOf(rate float64) admit.Allowance {
	return admit.Allowance{Rate: rate, Burst: rate, Unit: admit.Tokens, DefaultUnits: 200}
}

var sizes = []int{24, 103, 400}

// This test guards against a customer whose share at one entry is used up while
// its other shares are unused.
func TestOverloadUsesWholeAllowance(t *testing.T) {
	for _, n := range sizes {
		for name, oneEntry := range map[string]bool{"evenly": false, "through one entry": true} {
			t.Run(fmt.Sprint(n, " ", name), func(t *testing.T) {
				r, f := newRand(1), newFleet(n, allowanceOf(60_000))
				f.simulate(r, 3*time.Second, 0, nil)
				before := f.admitted
				const span = 30 * time.Second
				f.simulate(r, span, 9*f.limit.Rate/1.8, func() int {
					if oneEntry {
						return n / 2
					}
					return r.IntN(n)
				})
				share := (f.admitted - before) / ((f.limit.Rate + f.limit.Burst/tolerance.Window.Seconds()) * span.Seconds())
				assert.Assert(t, share >= 0.97, share)
				assert.Assert(t, f.worstWindow() < 0.97, f.worstWindow())
			})
		}
	}
}

// This test guards against refusals of a customer that is within its allowance
// but whose requests arrive at random.
func TestUsualLoadIsAdmitted(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r, f := newRand(2), newFleet(n, allowanceOf(60_000))
			f.simulate(r, 3*time.Second, 0, nil)
			f.simulate(r, time.Minute, f.limit.Rate/1.8, func() int { return r.IntN(n) })
			assert.Assert(t, f.admitted/f.requested >= 0.97, f.admitted/f.requested)
		})
	}
}

// This test guards against admitting more than the platform permits while
// entries crash, freeze, are isolated and restart under the constant load of
// one customer.
func TestWindowHoldsUnderFaults(t *testing.T) {
	// A larger fleet takes longer to simulate.
	seeds := map[int]uint64{24: 40, 103: 8, 400: 2}
	for _, n := range sizes {
		for _, rate := range []float64{29_000, 60_000, 250_000} {
			for seed := range seeds[n] {
				t.Run(fmt.Sprint(n, " entries, rate ", rate, ", seed ", seed), func(t *testing.T) {
					r, f := newRand(seed+10), newFleet(n, allowanceOf(rate))
					f.simulate(r, 2*time.Second, rate/2, func() int { return r.IntN(n) })
					for range 15 {
						f.injectFault(r)
						f.simulate(r, time.Duration(100+r.IntN(2500))*time.Millisecond, 5*rate, func() int { return r.IntN(n) })
					}
					assert.Assert(t, f.worstWindow() <= 1, f.worstWindow())
				})
			}
		}
	}
}

// injectFault applies one or two random faults to some entries.
func (f *fleet) injectFault(r *rand.Rand) {
	n := len(f.entries)
	forSome := func(apply func(i int)) {
		for range 1 + r.IntN(n/3) {
			apply(r.IntN(n))
		}
	}
	for range 1 + r.IntN(2) {
		until := f.now.Add(time.Duration(300+r.IntN(3000)) * time.Millisecond)
		switch r.IntN(7) {
		case 0:
			forSome(func(i int) { f.entries[i].frozenUntil = until })
		case 1:
			forSome(func(i int) { f.isolated[i] = true })
		case 2:
			clear(f.isolated)
		case 3:
			forSome(func(i int) { f.restart(i, until) })
		case 4:
			f.entries[0].frozenUntil = until
		case 5:
			f.restart(0, until)
		case 6:
			for i := range n {
				f.restart(i, f.now.Add(time.Second))
			}
		}
	}
}

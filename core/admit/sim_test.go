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

// upstreamSlots is how many requests the entry's upstreams run at once in the
// simulations.
const upstreamSlots = 10

// workload describes the requests of one owner, which arrive at random at a
// constant mean rate between start and stop.
type workload struct {
	owner, caller, model  string
	rate                  float64
	start, stop           time.Duration
	serviceTime, patience time.Duration
	// bounds are the limits that apply to the requests.
	bounds admit.Bounds
}

// simRequest is one request of a simulation.
type simRequest struct {
	core.Request
	bounds      admit.Bounds
	serviceTime time.Duration
	end         time.Time
}

// result counts the outcomes of an owner's requests.
type result struct{ sent, good, late, refused int }

func generate(workloads []workload) []simRequest {
	var out []simRequest
	for n, s := range workloads {
		rng := rand.New(rand.NewPCG(uint64(n), 4))
		for at := s.start; at < s.stop; at += time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)) {
			r := request(fmt.Sprint(n, "-", len(out)), s.owner, s.caller)
			r.Target.Model = core.ModelName(s.model)
			r.Arrived, r.Deadline = t0.Add(at), t0.Add(at+s.patience)
			out = append(out, simRequest{Request: r, bounds: s.bounds, serviceTime: s.serviceTime})
		}
	}
	slices.SortStableFunc(out, func(a, b simRequest) int { return a.Arrived.Compare(b.Arrived) })
	return out
}

// run simulates workloads with one FIFO queue, with or without limits.
func run(limits bool, workloads ...workload) map[string]*result {
	a := &admit.Limiter{}
	results := make(map[string]*result)
	var waiting, running []simRequest
	requests := generate(workloads)
	for now := t0; len(requests)+len(waiting)+len(running) > 0; now = now.Add(10 * time.Millisecond) {
		running = slices.DeleteFunc(running, func(j simRequest) bool { return finishIfDone(a, now, j, results) })
		for len(requests) > 0 && !requests[0].Arrived.After(now) {
			waiting = append(waiting, admitOrRefuse(a, now, requests[0], limits, results)...)
			requests = requests[1:]
		}
		if len(running) == upstreamSlots {
			continue
		}
		waiting = slices.DeleteFunc(waiting, func(j simRequest) bool {
			if len(running) == upstreamSlots || limits && !a.CanStart(j.ID) {
				return false
			}
			a.Start(now, j.ID)
			j.end = now.Add(j.serviceTime)
			running = append(running, j)
			return true
		})
	}
	return results
}

func admitOrRefuse(a *admit.Limiter, now time.Time, j simRequest, limits bool, results map[string]*result) []simRequest {
	r := results[string(j.Owner)]
	if r == nil {
		r = &result{}
		results[string(j.Owner)] = r
	}
	r.sent++
	if limits && a.Offer(now, j.Request, j.bounds) != nil {
		r.refused++
		return nil
	}
	return []simRequest{j}
}

func finishIfDone(a *admit.Limiter, now time.Time, j simRequest, results map[string]*result) bool {
	if j.end.After(now) {
		return false
	}
	a.Done(now, j.ID)
	if j.end.After(j.Deadline) {
		results[string(j.Owner)].late++
	} else {
		results[string(j.Owner)].good++
	}
	return true
}

// steadyOwner is a small constant workload that runs together with another.
func steadyOwner() workload {
	return workload{
		owner: "treasurer", caller: "t", model: "ledger", rate: 4, stop: 20 * time.Second,
		serviceTime: 300 * time.Millisecond, patience: 3 * time.Second,
	}
}

// Each case has an owner that is bounded by its limits, and a small steady
// owner. With one FIFO queue and no limits, the steady owner waits behind the
// work of the other one and gets answers after the deadline.
func TestLimitsProtectTheOthers(t *testing.T) {
	half := core.Limits{Concurrency: 5}
	for _, c := range []struct {
		name  string
		other workload
	}{
		{"burst", workload{
			caller: "a", model: "ledger", rate: 500, start: 5 * time.Second, stop: 8 * time.Second,
			serviceTime: 300 * time.Millisecond, patience: 5 * time.Second,
			bounds: admit.Bounds{Owner: core.Limits{Rate: 20, Burst: 40, Concurrency: 5}},
		}},
		{"a caller with most of the load", workload{
			caller: "script", model: "ledger", rate: 100, stop: 20 * time.Second,
			serviceTime: 300 * time.Millisecond, patience: 3 * time.Second,
			bounds: admit.Bounds{Caller: core.Limits{Concurrency: 5, Queue: 20}},
		}},
		{"slow upstream", workload{
			caller: "a", model: "hanging", rate: 3, stop: 20 * time.Second,
			serviceTime: 20 * time.Second, patience: 30 * time.Second, bounds: admit.Bounds{Target: half},
		}},
		{"long among short", workload{
			caller: "a", model: "review", rate: 2, stop: 20 * time.Second,
			serviceTime: 8 * time.Second, patience: time.Minute, bounds: admit.Bounds{Owner: half},
		}},
		{"saturation", workload{
			caller: "a", model: "ledger", rate: 90, stop: 20 * time.Second,
			serviceTime: 300 * time.Millisecond, patience: 3 * time.Second, bounds: admit.Bounds{Service: half},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.other.owner = "other"
			limited, unlimited := run(true, steadyOwner(), c.other), run(false, steadyOwner(), c.other)
			t.Logf("treasurer %+v, unlimited %+v", *limited["treasurer"], *unlimited["treasurer"])
			t.Logf("other %+v, unlimited %+v", *limited["other"], *unlimited["other"])
			assert.Assert(t, limited["treasurer"].good*100 >= limited["treasurer"].sent*99)
			assert.Assert(t, unlimited["treasurer"].good*100 < unlimited["treasurer"].sent*80)
			assert.Assert(t, limited["other"].good > 0)
		})
	}
}

// An owner sends three times what its concurrency limit permits. Admitted
// requests are answered in time, the others are refused at once, and goodput
// stays constant.
func TestConcurrencyAtSaturation(t *testing.T) {
	overload := func(rate float64) workload {
		return workload{
			owner: "other", caller: "a", model: "ledger", rate: rate, stop: 20 * time.Second,
			serviceTime: 300 * time.Millisecond, patience: 2 * time.Second,
			bounds: admit.Bounds{Owner: core.Limits{Concurrency: 5}},
		}
	}
	at1, at3 := run(true, overload(16))["other"], run(true, overload(48))["other"]
	noRefusal := overload(48)
	noRefusal.bounds = admit.Bounds{}
	noRefusal.rate = 96
	unlimited := run(false, noRefusal)["other"]
	t.Logf("1x %+v, 3x %+v, unlimited %+v", *at1, *at3, *unlimited)
	assert.Assert(t, float64(at3.good) >= 0.95*float64(at1.good))
	assert.Assert(t, at3.late*100 <= at3.good)
	assert.Assert(t, float64(unlimited.good) < 0.5*float64(at1.good))
}

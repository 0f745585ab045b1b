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

// slots is how many requests the entry's upstreams run at once in the plays.
const slots = 10

// stream is requests of one owner at a steady rate from begin to stop.
type stream struct {
	owner, caller, model string
	perSecond            float64
	begin, stop          time.Duration
	takes, patience      time.Duration
	// bounds are the limits in force for the stream.
	bounds admit.Bounds
}

// job is one request of a play.
type job struct {
	core.Request
	bounds admit.Bounds
	takes  time.Duration
	ends   time.Time
}

// got is what an owner's callers got.
type got struct{ sent, good, late, refused int }

func jobs(streams []stream) []job {
	var out []job
	for n, s := range streams {
		rng := rand.New(rand.NewPCG(uint64(n), 4))
		for at := s.begin; at < s.stop; at += time.Duration(rng.ExpFloat64() / s.perSecond * float64(time.Second)) {
			r := request(fmt.Sprint(n, "-", len(out)), s.owner, s.caller)
			r.Target.Model = core.ModelName(s.model)
			r.Arrived, r.Deadline = t0.Add(at), t0.Add(at+s.patience)
			out = append(out, job{Request: r, bounds: s.bounds, takes: s.takes})
		}
	}
	slices.SortStableFunc(out, func(a, b job) int { return a.Arrived.Compare(b.Arrived) })
	return out
}

// run plays streams through one list by arrival, with limits or without.
func run(limits bool, streams ...stream) map[string]*got {
	a := &admit.Admit{}
	results := make(map[string]*got)
	var list, running []job
	in := jobs(streams)
	for now := t0; len(in)+len(list)+len(running) > 0; now = now.Add(10 * time.Millisecond) {
		running = slices.DeleteFunc(running, func(j job) bool { return ended(a, now, j, results) })
		for len(in) > 0 && !in[0].Arrived.After(now) {
			list = append(list, arrive(a, now, in[0], limits, results)...)
			in = in[1:]
		}
		if len(running) == slots {
			continue
		}
		list = slices.DeleteFunc(list, func(j job) bool {
			if len(running) == slots || limits && !a.CanStart(j.ID) {
				return false
			}
			a.Start(now, j.ID)
			j.ends = now.Add(j.takes)
			running = append(running, j)
			return true
		})
	}
	return results
}

func arrive(a *admit.Admit, now time.Time, j job, limits bool, results map[string]*got) []job {
	r := results[string(j.Owner)]
	if r == nil {
		r = &got{}
		results[string(j.Owner)] = r
	}
	r.sent++
	if limits && a.Offer(now, j.Request, j.bounds) != nil {
		r.refused++
		return nil
	}
	return []job{j}
}

func ended(a *admit.Admit, now time.Time, j job, results map[string]*got) bool {
	if j.ends.After(now) {
		return false
	}
	a.Done(now, j.ID)
	if j.ends.After(j.Deadline) {
		results[string(j.Owner)].late++
	} else {
		results[string(j.Owner)].good++
	}
	return true
}

// treasurer is a small steady owner beside whom the others play.
func treasurer() stream {
	return stream{
		owner: "treasurer", caller: "t", model: "ledger", perSecond: 4, stop: 20 * time.Second,
		takes: 300 * time.Millisecond, patience: 3 * time.Second,
	}
}

// Each play has an owner whose own limits bound what it takes, and a treasurer
// beside it. In one list without limits the treasurer waits behind the other's
// work and gets answers after the deadline.
func TestLimitsProtectTheOthers(t *testing.T) {
	half := core.Limits{Concurrency: 5}
	for _, c := range []struct {
		name  string
		other stream
	}{
		{"burst", stream{
			caller: "a", model: "ledger", perSecond: 500, begin: 5 * time.Second, stop: 8 * time.Second,
			takes: 300 * time.Millisecond, patience: 5 * time.Second,
			bounds: admit.Bounds{Owner: core.Limits{Rate: 20, Burst: 40, Concurrency: 5}},
		}},
		{"a caller with most of the load", stream{
			caller: "script", model: "ledger", perSecond: 100, stop: 20 * time.Second,
			takes: 300 * time.Millisecond, patience: 3 * time.Second,
			bounds: admit.Bounds{Caller: core.Limits{Concurrency: 5, Queue: 20}},
		}},
		{"slow upstream", stream{
			caller: "a", model: "hanging", perSecond: 3, stop: 20 * time.Second,
			takes: 20 * time.Second, patience: 30 * time.Second, bounds: admit.Bounds{Target: half},
		}},
		{"long among short", stream{
			caller: "a", model: "review", perSecond: 2, stop: 20 * time.Second,
			takes: 8 * time.Second, patience: time.Minute, bounds: admit.Bounds{Owner: half},
		}},
		{"saturation", stream{
			caller: "a", model: "ledger", perSecond: 90, stop: 20 * time.Second,
			takes: 300 * time.Millisecond, patience: 3 * time.Second, bounds: admit.Bounds{Service: half},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.other.owner = "other"
			f, n := run(true, treasurer(), c.other), run(false, treasurer(), c.other)
			t.Logf("treasurer %+v, naive %+v", *f["treasurer"], *n["treasurer"])
			t.Logf("other %+v, naive %+v", *f["other"], *n["other"])
			assert.Assert(t, f["treasurer"].good*100 >= f["treasurer"].sent*99)
			assert.Assert(t, n["treasurer"].good*100 < n["treasurer"].sent*80)
			assert.Assert(t, f["other"].good > 0)
		})
	}
}

// An owner asks for three times what its concurrency limit lets through. What is
// let in is answered in time; the rest is told so at once, with goodput flat.
func TestConcurrencyAtSaturation(t *testing.T) {
	flood := func(perSecond float64) stream {
		return stream{
			owner: "other", caller: "a", model: "ledger", perSecond: perSecond, stop: 20 * time.Second,
			takes: 300 * time.Millisecond, patience: 2 * time.Second,
			bounds: admit.Bounds{Owner: core.Limits{Concurrency: 5}},
		}
	}
	at1, at3 := run(true, flood(16))["other"], run(true, flood(48))["other"]
	noRefusal := flood(48)
	noRefusal.bounds = admit.Bounds{}
	noRefusal.perSecond = 96
	naive := run(false, noRefusal)["other"]
	t.Logf("1x %+v, 3x %+v, naive %+v", *at1, *at3, *naive)
	assert.Assert(t, float64(at3.good) >= 0.95*float64(at1.good))
	assert.Assert(t, at3.late*100 <= at3.good)
	assert.Assert(t, float64(naive.good) < 0.5*float64(at1.good))
}

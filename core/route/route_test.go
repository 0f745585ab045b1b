package route_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/route"
)

// holderCandidate returns a candidate that holds the target and runs n
// requests.
func holderCandidate(name string, n int) route.Candidate {
	return route.Candidate{
		Host: core.HostName(name), DataCentre: "lac-deux",
		Load: route.Load{At: t0, Running: n, Item: route.Item{State: core.Loaded}},
	}
}

// coldCandidate returns a candidate that has a copy of the target in a tier but
// has not loaded it.
func coldCandidate(name string, tier core.Tier) route.Candidate {
	c := holderCandidate(name, 0)
	c.Load.Item = route.Item{State: core.Absent, Tier: tier}
	return c
}

func wantOrder(t *testing.T, p route.Plan, hosts ...core.HostName) {
	t.Helper()
	var got []core.HostName
	for _, c := range p.Hosts {
		got = append(got, c.Host)
	}
	assert.DeepEqual(t, got, hosts)
}

func planFor(candidates ...route.Candidate) route.Plan {
	r := &route.Router{}
	return r.Plan(t0, route.Query{Request: request(1, t0, time.Minute), Candidates: candidates, Costs: costs})
}

func TestOrder(t *testing.T) {
	loading := coldCandidate("loading", core.TierStore)
	loading.Load.Item.State, loading.Load.Item.Ready = core.Loading, t0.Add(19*time.Second)
	t.Run("holder, loading, cheapest load", func(t *testing.T) {
		p := planFor(coldCandidate("store", core.TierStore), coldCandidate("memory", core.TierMemory),
			coldCandidate("disk", core.TierDisk), loading, holderCandidate("holder", 3))
		wantOrder(t, p, "holder", "loading", "memory", "disk", "store")
		assert.Equal(t, p.Hosts[1].Reason, route.Loading)
		assert.Equal(t, p.Hosts[0].Reason, route.LeastLoaded)
		assert.Assert(t, p.Hosts[3].Start.Equal(t0.Add(4*time.Second)))
	})
	t.Run("least loaded holder", func(t *testing.T) {
		wantOrder(t, planFor(holderCandidate("a", 9), holderCandidate("b", 2), holderCandidate("c", 5)), "b", "c", "a")
	})
	t.Run("leaving and tried hosts are left out, suspects last", func(t *testing.T) {
		leaving, suspect := holderCandidate("leaving", 0), holderCandidate("suspect", 0)
		leaving.Health, suspect.Health = route.Leaving, route.Suspect
		r := &route.Router{}
		p := r.Plan(t0, route.Query{
			Request: request(1, t0, time.Minute), Tried: []core.HostName{"tried"}, Costs: costs,
			Candidates: []route.Candidate{suspect, leaving, holderCandidate("tried", 0), coldCandidate("cold", core.TierStore)},
		})
		wantOrder(t, p, "cold", "suspect")
	})
	t.Run("same data centre among equals", func(t *testing.T) {
		for n := range 20 {
			far, near := holderCandidate("far", 1), holderCandidate("near", 1)
			near.DataCentre = "ariana"
			r := &route.Router{Seed: uint64(n)}
			p := r.Plan(t0, route.Query{
				Request: request(n, t0, time.Minute), DataCentre: "ariana", Candidates: []route.Candidate{far, near},
			})
			wantOrder(t, p, "near", "far")
		}
	})
	t.Run("a load that needs another's memory comes last", func(t *testing.T) {
		full, empty := coldCandidate("full", core.TierMemory), coldCandidate("empty", core.TierStore)
		empty.Load.Free = 10 * core.GiB
		r := &route.Router{}
		p := r.Plan(t0, route.Query{
			Request: request(1, t0, time.Minute), Costs: costs, Need: core.GiB,
			Candidates: []route.Candidate{full, empty},
		})
		wantOrder(t, p, "empty", "full")
	})
	t.Run("adapter without its base", func(t *testing.T) {
		withoutBase, withBase := coldCandidate("without", core.TierMemory), coldCandidate("with", core.TierDisk)
		withBase.Load.Base.State = core.Loaded
		q := route.Query{Request: request(1, t0, time.Minute), Costs: costs, Candidates: []route.Candidate{withoutBase, withBase}}
		q.Request.Target = core.Target{Service: "qalam", Model: "dues", Base: "ledger"}
		q.Costs.Base = [3]time.Duration{30 * time.Second, 40 * time.Second, 50 * time.Second}
		wantOrder(t, (&route.Router{}).Plan(t0, q), "with", "without")
	})
}

// Entries with the same reports choose the same host to load on, whatever the
// request, but spread requests over the holders.
func TestEntriesAgreeOnColdHosts(t *testing.T) {
	first := func(newCandidate func(string) route.Candidate) map[core.HostName]int {
		chosen := map[core.HostName]int{}
		for n := range 60 {
			r := &route.Router{Seed: uint64(n)}
			q := route.Query{Request: request(n, t0, time.Minute), Costs: costs}
			for _, h := range []string{"a", "b", "c", "d"} {
				q.Candidates = append(q.Candidates, newCandidate(h))
			}
			chosen[r.Plan(t0, q).Hosts[0].Host]++
		}
		return chosen
	}
	assert.Equal(t, len(first(func(h string) route.Candidate { return coldCandidate(h, core.TierDisk) })), 1)
	assert.Equal(t, len(first(func(h string) route.Candidate { return holderCandidate(h, 1) })), 4)
}

// An entry that has just started has no reports. It must probe until it finds
// the holder, or its first caller waits for an unnecessary load.
func TestNewEntryFindsTheHolder(t *testing.T) {
	for holder := range 7 {
		r := &route.Router{}
		q := route.Query{Request: request(1, t0, time.Minute), Costs: costs}
		for n := range 7 {
			q.Candidates = append(q.Candidates, route.Candidate{Host: core.HostName(fmt.Sprint("h", n))})
		}
		p := r.Plan(t0, q)
		for ; p.Wait; p = r.Plan(t0, q) {
			for _, h := range p.Probe {
				at := slices.IndexFunc(q.Candidates, func(c route.Candidate) bool { return c.Host == h })
				q.Candidates[at] = coldCandidate(string(h), core.TierStore)
				if at == holder {
					q.Candidates[at] = holderCandidate(string(h), 1)
				}
			}
			q.Probed = append(q.Probed, p.Probe...)
		}
		assert.Equal(t, p.Hosts[0].Host, core.HostName(fmt.Sprint("h", holder)))
	}
}

// A host with the prompt's prefix cached is not chosen if its load is far above
// that of the others.
func TestCachedHolderIsNotOverloaded(t *testing.T) {
	r := &route.Router{}
	q := route.Query{Request: request(1, t0, time.Minute, 7)}
	r.RecordSent(t0, q.Request, "a")
	q.Candidates = []route.Candidate{holderCandidate("a", 4), holderCandidate("b", 1), holderCandidate("c", 1)}
	assert.Equal(t, r.Plan(t0, q).Hosts[0].Reason, route.Cached)
	q.Candidates[0] = holderCandidate("a", 9)
	assert.Assert(t, r.Plan(t0, q).Hosts[0].Host != "a")
}

// Without any reports, the requests that this process has in flight still
// count.
func TestOwnRequestsCount(t *testing.T) {
	for n := range 20 {
		busy := route.Candidate{Host: "busy", InFlight: 5}
		q := route.Query{Request: request(n, t0, time.Minute), Candidates: []route.Candidate{busy, {Host: "idle"}}}
		q.Request.Target = core.Target{Service: "sijill"}
		wantOrder(t, (&route.Router{}).Plan(t0, q), "idle", "busy")
	}
}

// Cache events arrive late and with gaps. An eviction reported by one host must
// not remove the record of another.
func TestCacheEvents(t *testing.T) {
	r := &route.Router{}
	q := route.Query{
		Request:    request(1, t0, time.Minute, 7, 8),
		Candidates: []route.Candidate{holderCandidate("a", 1), holderCandidate("b", 1), holderCandidate("c", 1)},
	}
	first := func(now time.Time) core.HostName {
		for i := range q.Candidates {
			q.Candidates[i].Load.At = now
		}
		return r.Plan(now, q).Hosts[0].Host
	}
	byHash := first(t0)
	other := q.Candidates[slices.IndexFunc(q.Candidates, func(c route.Candidate) bool { return c.Host != byHash })].Host
	r.CacheEvent(t0, ledger, other, 8, true)
	assert.Equal(t, first(t0), other)
	r.CacheEvent(t0, ledger, byHash, 8, false)
	assert.Equal(t, first(t0), other, "an eviction at another host")
	assert.Equal(t, first(t0.Add(time.Hour)), byHash, "a record of an hour ago")
	r.CacheEvent(t0, ledger, other, 8, false)
	assert.Equal(t, first(t0), byHash, "an eviction at the host")
}

// A host that fails every call answers fast and so always seems the least
// loaded. It must be set aside, but never more than a third of the hosts at
// once.
func TestFailingHosts(t *testing.T) {
	r := &route.Router{}
	for n := range 400 {
		now := t0.Add(time.Duration(n) * 10 * time.Millisecond)
		report := route.Report{Host: core.HostName(fmt.Sprint("h", n%6)), Target: ledger, Took: time.Second}
		if n%6 < 4 {
			report.Result = route.Broken
		}
		r.Observe(now, report)
	}
	setAside := 0
	for n := range 6 {
		if r.AsideUntil("qalam", core.HostName(fmt.Sprint("h", n))).After(t0.Add(4 * time.Second)) {
			setAside++
		}
	}
	assert.Equal(t, setAside, 2)
	r.Forget("qalam", "h0")
	assert.Assert(t, r.AsideUntil("qalam", "h0").IsZero())
}

// For any reports, a plan names every candidate that may get work exactly once,
// probes at most two hosts, ends after a bounded number of rounds, and is the
// same when it is computed again.
func TestPlanProperties(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		q := route.Query{Request: request(int(seed), t0, time.Minute, 1, 2), Costs: costs, DataCentre: "a"}
		want := 0
		for n := range rng.IntN(12) {
			c := randomCandidate(rng, n)
			q.Candidates = append(q.Candidates, c)
			if c.Health != route.Leaving {
				want++
			}
		}
		r := &route.Router{Seed: seed}
		p := r.Plan(t0, q)
		assert.Assert(t, reflect.DeepEqual(p, r.Plan(t0, q)))
		assert.Equal(t, len(p.Hosts), want)
		assert.Equal(t, len(distinct(p)), want)
		rounds := 0
		for ; len(p.Probe) > 0; rounds++ {
			assert.Assert(t, len(p.Probe) <= 2)
			q.Probed = append(q.Probed, p.Probe...)
			p = r.Plan(t0, q)
		}
		assert.Assert(t, rounds <= 12)
	}
}

func randomCandidate(rng *rand.Rand, n int) route.Candidate {
	c := route.Candidate{
		Host: core.HostName(fmt.Sprint("h", n)), DataCentre: core.DataCentre(fmt.Sprint(rng.IntN(2))),
		Health: route.Health(rng.IntN(3)), InFlight: rng.IntN(4), Sent: rng.IntN(3),
	}
	if rng.IntN(4) > 0 {
		c.Load = route.Load{At: t0.Add(-time.Duration(rng.IntN(20000)) * time.Millisecond)}
		c.Load.Running, c.Load.Queued = rng.IntN(8), rng.IntN(3)
		c.Load.Item = route.Item{State: core.ItemState(rng.IntN(4)), Tier: core.Tier(rng.IntN(3))}
	}
	return c
}

func distinct(p route.Plan) map[core.HostName]bool {
	hosts := make(map[core.HostName]bool)
	for _, c := range p.Hosts {
		hosts[c.Host] = true
	}
	return hosts
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{2, 8, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := &route.Router{}
			q := route.Query{Request: request(1, t0, time.Minute, 1, 2, 3), Costs: costs}
			for i := range n {
				q.Candidates = append(q.Candidates, holderCandidate(fmt.Sprint("host-", i), i%5))
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Plan(t0, q)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	r := &route.Router{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		r.Observe(now, route.Report{Host: "a", Target: ledger, Took: time.Second})
	}
}

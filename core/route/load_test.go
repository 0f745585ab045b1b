package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

func hundredMilliseconds(*rand.Rand, *core.Request) time.Duration { return 100 * time.Millisecond }

// Forty requests reach eight entries within a second, for a model that no host
// holds. A random router starts a load on every granted host, which occupies
// the accelerators of all of them.
func TestBurstLoadsOnOneHost(t *testing.T) {
	simulate := func(newRouter func(int) router) *simulation {
		p := newSimulation(8, 6, 0, newRouter)
		for i := range 40 {
			p.send(request(i, t0.Add(time.Duration(i)*25*time.Millisecond), time.Minute), i%8, 100*time.Millisecond)
		}
		p.run()
		return p
	}
	planned, random := simulate(newPlanRouter), simulate(newRandomRouter)
	t.Logf("loads %d, random %d; p99 %v, random %v", planned.loads(), random.loads(), quantile(planned.latencies, 0.99), quantile(random.latencies, 0.99))
	assert.Equal(t, planned.loads(), 1)
	assert.Equal(t, random.loads(), 6)
	assert.Equal(t, planned.inTime, 40)
	assert.Assert(t, quantile(planned.latencies, 0.99) < costs.Item[core.TierStore]+2*time.Second)
}

// Twenty entries hold the same report, in which one host has the least load. If
// all of them follow it, that host gets every request until the next report.
func TestStaleReportsDoNotAttractAll(t *testing.T) {
	simulate := func(newRouter func(int) router) (most int) {
		p := newSimulation(20, 5, 5, newRouter)
		report := t0.Add(-time.Second)
		for _, e := range p.entries {
			for i, h := range p.hosts {
				e.lastLoad[h.name] = h.load(report)
				l := e.lastLoad[h.name]
				l.Running = min(i, 1)
				e.lastLoad[h.name] = l
			}
		}
		for i := range 100 {
			p.send(request(i, t0, time.Minute), i%20, time.Second)
		}
		p.run()
		for _, h := range p.hosts {
			most = max(most, h.served)
		}
		return most
	}
	planned, leastLoaded := simulate(newPlanRouter), simulate(newLeastReported)
	t.Logf("the most loaded of five hosts got %d of 100, least loaded by last report %d", planned, leastLoaded)
	assert.Assert(t, planned <= 30)
	assert.Assert(t, leastLoaded >= 50)
}

// One host of six is ten times slower for 40 s. A random router sends it a
// sixth of all requests during that time. At a low rate the host is mostly
// idle, so its queue does not show the fault; only the latency does.
func TestSlowUpstream(t *testing.T) {
	for _, perSecond := range []float64{10, 80} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			random, _ := simulateSlowHost(newRandomRouter, perSecond)
			planned, share := simulateSlowHost(newPlanRouter, perSecond)
			slow, randomSlow := slowAnswers(planned), slowAnswers(random)
			t.Logf("slow answers %d of %d, random %d; p99 %v, random %v; share afterwards %.3f",
				slow, len(planned.latencies), randomSlow, quantile(planned.latencies, 0.99), quantile(random.latencies, 0.99), share)
			assert.Assert(t, slow*3 < randomSlow)
			assert.Assert(t, share > 0.13, "the host does not get its share again")
		})
	}
}

// simulateSlowHost returns the finished simulation and the slow host's share of
// the requests that were answered from 90 s after its slow period on.
func simulateSlowHost(newRouter func(int) router, perSecond float64) (p *simulation, share float64) {
	p = newSimulation(3, 6, 6, newRouter)
	p.hosts[2].slowdown = func(at time.Time) float64 {
		if s := at.Sub(t0); s > 20*time.Second && s < 60*time.Second {
			return 10
		}
		return 1
	}
	var served, all int
	p.schedule(t0.Add(150*time.Second), func(time.Time) { served, all = p.hosts[2].served, len(p.latencies) })
	p.stream(1, perSecond, 3*time.Minute, hundredMilliseconds)
	p.run()
	return p, float64(p.hosts[2].served-served) / float64(len(p.latencies)-all)
}

func slowAnswers(p *simulation) int {
	slow := 0
	for _, l := range p.latencies {
		if l >= 900*time.Millisecond {
			slow++
		}
	}
	return slow
}

// One in ten requests takes twenty times as long. A random router sometimes
// puts short requests behind several long ones while other hosts have free
// slots.
func TestLongAmongShort(t *testing.T) {
	simulate := func(newRouter func(int) router) *simulation {
		p := newSimulation(3, 6, 6, newRouter)
		p.stream(2, 55, 2*time.Minute, func(rng *rand.Rand, _ *core.Request) time.Duration {
			if rng.IntN(10) == 0 {
				return 2 * time.Second
			}
			return 100 * time.Millisecond
		})
		p.run()
		return p
	}
	planned, random := simulate(newPlanRouter), simulate(newRandomRouter)
	t.Logf("short p99 %v, random %v", quantile(planned.shortLatencies, 0.99), quantile(random.shortLatencies, 0.99))
	assert.Assert(t, quantile(planned.shortLatencies, 0.99)*3 < quantile(random.shortLatencies, 0.99))
}

// The only holder gets about three times its capacity. Waiting there soon takes
// longer than a load on another granted host. A router that uses only holders
// never loads there, and one that uses any host loads on all four.
func TestSaturationSpills(t *testing.T) {
	simulate := func(newRouter func(int) router, rate float64) *simulation {
		p := newSimulation(3, 4, 1, newRouter)
		p.stream(3, rate, 2*time.Minute, hundredMilliseconds)
		p.run()
		return p
	}
	t.Run("not below saturation", func(t *testing.T) {
		planned, random := simulate(newPlanRouter, 30), simulate(newRandomRouter, 30)
		assert.Equal(t, planned.loads(), 0)
		assert.Assert(t, random.loads() > 0)
	})
	t.Run("when the wait outlasts a load", func(t *testing.T) {
		planned := simulate(newPlanRouter, 110)
		last := planned.latencies[len(planned.latencies)*9/10:]
		t.Logf("loads %d, median latency of the last tenth %v", planned.loads(), last[len(last)/2])
		assert.Assert(t, planned.loads() >= 2, "three hosts are needed")
		assert.Assert(t, last[len(last)/2] < 60*time.Second)
	})
}

// Nine in ten requests begin with the same prompt. Its host must not be
// overloaded, and the forty other conversations must still find their prefixes
// cached. All caches together hold each prefix about once, but not six times.
func TestFewPromptsTakeMost(t *testing.T) {
	simulate := func(newRouter func(int) router) (p *simulation, others int) {
		p = newSimulation(3, 6, 6, newRouter)
		p.stream(4, 120, 2*time.Minute, func(rng *rand.Rand, r *core.Request) time.Duration {
			r.Prefixes = []uint64{1, 1000 + uint64(rng.IntN(5))}
			if rng.IntN(10) == 0 {
				conversation := uint64(rng.IntN(40))
				r.Prefixes = []uint64{100 + conversation, 200 + conversation}
				others++
			}
			return 100 * time.Millisecond
		})
		p.run()
		return p, others
	}
	planned, others := simulate(newPlanRouter)
	random, _ := simulate(newRandomRouter)
	most := 0
	for _, h := range planned.hosts {
		most = max(most, h.served)
	}
	mean := len(planned.latencies) / len(planned.hosts)
	found, randomFound := otherHits(planned), otherHits(random)
	t.Logf("of %d others %d found, random %d; most loaded %d, mean %d; p99 %v, random %v", others, found, randomFound,
		most, mean, quantile(planned.latencies, 0.99), quantile(random.latencies, 0.99))
	assert.Assert(t, found*10 > others*6)
	assert.Assert(t, randomFound*10 < others*4)
	assert.Assert(t, quantile(planned.latencies, 0.99) < 250*time.Millisecond)
	assert.Assert(t, most*2 < mean*3)
}

func otherHits(p *simulation) int {
	n := 0
	for first, found := range p.prefixHits {
		if first != 1 {
			n += found
		}
	}
	return n
}

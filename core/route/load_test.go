package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

func tenth(*rand.Rand, *core.Request) time.Duration { return 100 * time.Millisecond }

// A treasurer's evening begins: forty requests reach eight entries within a
// second, for a model that no host holds. A random router starts a load on every
// granted host, and the accelerators of all of them are busy for one session.
func TestBurstWakesOneHost(t *testing.T) {
	burst := func(make func(int) router) *play {
		p := newPlay(8, 6, 0, make)
		for i := range 40 {
			p.send(request(i, t0.Add(time.Duration(i)*25*time.Millisecond), time.Minute), i%8, 100*time.Millisecond)
		}
		p.run()
		return p
	}
	f, n := burst(ours), burst(naive)
	t.Logf("loads %d, naive %d; p99 %v, naive %v", f.loads(), n.loads(), quantile(f.waits, 0.99), quantile(n.waits, 0.99))
	assert.Equal(t, f.loads(), 1)
	assert.Equal(t, n.loads(), 6)
	assert.Equal(t, f.good, 40)
	assert.Assert(t, quantile(f.waits, 0.99) < costs.Item[core.TierStore]+2*time.Second)
}

// Twenty entries hold the same report, in which one host has least to do. If all
// of them believe it, that host gets everything that comes until the next report.
func TestOldReportsMakeNoHerd(t *testing.T) {
	herd := func(make func(int) router) (most int) {
		p := newPlay(20, 5, 5, make)
		report := t0.Add(-time.Second)
		for _, e := range p.entries {
			for i, h := range p.hosts {
				e.known[h.name] = h.load(report)
				l := e.known[h.name]
				l.Running = min(i, 1)
				e.known[h.name] = l
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
	f, n := herd(ours), herd(oldReport)
	t.Logf("the fullest of five hosts got %d of 100, by old report %d", f, n)
	assert.Assert(t, f <= 30)
	assert.Assert(t, n >= 50)
}

// One host of six becomes ten times slower for 40 s. A sixth of all callers of a
// random router meet it for as long as that lasts. At a low rate its queue does
// not show it, as it is idle most of the time: only the latency does.
func TestSlowUpstream(t *testing.T) {
	for _, perSecond := range []float64{10, 80} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			n, _ := playSlow(naive, perSecond)
			f, part := playSlow(ours, perSecond)
			late, naiveLate := slowAnswers(f), slowAnswers(n)
			t.Logf("slow answers %d of %d, naive %d; p99 %v, naive %v; part after it %.3f",
				late, len(f.waits), naiveLate, quantile(f.waits, 0.99), quantile(n.waits, 0.99), part)
			assert.Assert(t, late*3 < naiveLate)
			assert.Assert(t, part > 0.13, "the host is not let back in")
		})
	}
}

// playSlow returns the play and the slow host's part of the requests that came
// 90 s after its slow time.
func playSlow(make func(int) router, perSecond float64) (p *play, part float64) {
	p = newPlay(3, 6, 6, make)
	p.hosts[2].slow = func(at time.Time) float64 {
		if s := at.Sub(t0); s > 20*time.Second && s < 60*time.Second {
			return 10
		}
		return 1
	}
	var served, all int
	p.at(t0.Add(150*time.Second), func(time.Time) { served, all = p.hosts[2].served, len(p.waits) })
	p.stream(1, perSecond, 3*time.Minute, tenth)
	p.run()
	return p, float64(p.hosts[2].served-served) / float64(len(p.waits)-all)
}

func slowAnswers(p *play) int {
	late := 0
	for _, w := range p.waits {
		if w >= 900*time.Millisecond {
			late++
		}
	}
	return late
}

// One in ten requests takes twenty times as long. By chance a random router puts
// short ones behind several long ones while other hosts have room.
func TestLongAmongShort(t *testing.T) {
	mix := func(make func(int) router) *play {
		p := newPlay(3, 6, 6, make)
		p.stream(2, 55, 2*time.Minute, func(rng *rand.Rand, _ *core.Request) time.Duration {
			if rng.IntN(10) == 0 {
				return 2 * time.Second
			}
			return 100 * time.Millisecond
		})
		p.run()
		return p
	}
	f, n := mix(ours), mix(naive)
	t.Logf("short p99 %v, naive %v", quantile(f.short, 0.99), quantile(n.short, 0.99))
	assert.Assert(t, quantile(f.short, 0.99)*3 < quantile(n.short, 0.99))
}

// The only holder gets three times what it can do. Waiting there soon takes
// longer than a load on the second granted host; a router that only goes to
// holders never uses it, and one that goes anywhere loads all four.
func TestSaturationSpills(t *testing.T) {
	saturate := func(make func(int) router, rate float64) *play {
		p := newPlay(3, 4, 1, make)
		p.stream(3, rate, 2*time.Minute, tenth)
		p.run()
		return p
	}
	t.Run("not below saturation", func(t *testing.T) {
		f, n := saturate(ours, 30), saturate(naive, 30)
		assert.Equal(t, f.loads(), 0)
		assert.Assert(t, n.loads() > 0)
	})
	t.Run("when the wait outlasts a load", func(t *testing.T) {
		f := saturate(ours, 110)
		last := f.waits[len(f.waits)*9/10:]
		t.Logf("loads %d, median wait of the last tenth %v", f.loads(), last[len(last)/2])
		assert.Assert(t, f.loads() >= 2, "three hosts are needed")
		assert.Assert(t, last[len(last)/2] < 60*time.Second)
	})
}

// Nine in ten requests begin with the same prompt. Its host must not drown, and
// the forty other conversations must still find their caches, which together
// hold them once and not six times.
func TestFewPromptsTakeMost(t *testing.T) {
	few := func(make func(int) router) (p *play, others int) {
		p = newPlay(3, 6, 6, make)
		p.stream(4, 120, 2*time.Minute, func(rng *rand.Rand, r *core.Request) time.Duration {
			r.Prefixes = []uint64{1, 1000 + uint64(rng.IntN(5))}
			if rng.IntN(10) == 0 {
				who := uint64(rng.IntN(40))
				r.Prefixes = []uint64{100 + who, 200 + who}
				others++
			}
			return 100 * time.Millisecond
		})
		p.run()
		return p, others
	}
	f, others := few(ours)
	n, _ := few(naive)
	most := 0
	for _, h := range f.hosts {
		most = max(most, h.served)
	}
	mean := len(f.waits) / len(f.hosts)
	found, naiveFound := otherHits(f), otherHits(n)
	t.Logf("of %d others %d found, naive %d; fullest %d, mean %d; p99 %v, naive %v", others, found, naiveFound,
		most, mean, quantile(f.waits, 0.99), quantile(n.waits, 0.99))
	assert.Assert(t, found*10 > others*6)
	assert.Assert(t, naiveFound*10 < others*4)
	assert.Assert(t, quantile(f.waits, 0.99) < 250*time.Millisecond)
	assert.Assert(t, most*2 < mean*3)
}

func otherHits(p *play) int {
	n := 0
	for first, found := range p.found {
		if first != 1 {
			n += found
		}
	}
	return n
}

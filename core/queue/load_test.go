package queue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/queue"
)

// eightSlots is an engine that runs eight requests at once, each for about 400
// ms, which is 20 requests a second.
var eightSlots = upstreamModel{slots: 8, serviceTime: steady(400 * time.Millisecond)}

// runBoth runs the same requests through the queue and through a FIFO queue.
func runBoth(upstream upstreamModel, requests []simRequest, group func(queue.Item) string) (fair, fifo map[string]*result) {
	return run(&fairQueue{}, upstream, requests, group), run(&fifoQueue{}, upstream, requests, group)
}

// goodput counts the answers that arrived in time before the last request was
// sent.
func goodput(results map[string]*result) int {
	n := 0
	for _, r := range results {
		n += r.inSpan
	}
	return n
}

func byClass(i queue.Item) string { return i.Class.String() }

func mixedLoad(times float64) []workload {
	return []workload{
		{"daftar", "a", core.Interactive, 6 * times, 1, 3 * time.Second},
		{"fasade", "b", core.Interactive, 6 * times, 1, 3 * time.Second},
		{"daftar", "c", core.Evening, 5 * times, 1, 10 * time.Second},
		{"fasade", "d", core.Overnight, 3 * times, 1, 60 * time.Second},
	}
}

// At three times the capacity of the engine, callers of a FIFO queue wait until
// after their deadlines because the engine works on answers that nobody waits for any more.
// The cause is that nothing is refused before its deadline has passed.
func TestSaturation(t *testing.T) {
	span := 2 * time.Minute
	once, fifoOnce := runBoth(eightSlots, generate(1, span, mixedLoad(1)...), byClass)
	thrice, fifoThrice := runBoth(eightSlots, generate(1, span, mixedLoad(3)...), byClass)
	t.Logf("goodput at 1x: %d, FIFO %d; at 3x: %d, FIFO %d",
		goodput(once), goodput(fifoOnce), goodput(thrice), goodput(fifoThrice))
	for _, c := range []string{"interactive", "evening", "overnight"} {
		fair, fifo := thrice[c], fifoThrice[c]
		t.Logf("3x %s: sent %d, good %d late %d refused %d p99 %v; FIFO good %d late %d p99 %v",
			c, fair.sent, fair.good, fair.late, fair.refused, fair.p99(), fifo.good, fifo.late, fifo.p99())
	}
	holds := func(once, thrice map[string]*result) bool {
		return float64(goodput(thrice)) >= 0.95*float64(goodput(once))
	}
	assert.Assert(t, holds(once, thrice), "goodput falls under overload")
	assert.Assert(t, !holds(fifoOnce, fifoThrice), "the FIFO queue passes: the simulation proves nothing")
	assert.Assert(t, thrice["interactive"].p99() <= 3*time.Second)
	assert.Assert(t, fifoThrice["interactive"].p99() > 3*time.Second)
}

// Interactive and evening work alone exceed the engine. The overnight backlog
// must still make progress, or accepted requests would never finish.
func TestNoClassStarves(t *testing.T) {
	requests := generate(2, 2*time.Minute,
		workload{"daftar", "a", core.Interactive, 30, 1, 4 * time.Second},
		workload{"daftar", "b", core.Evening, 30, 1, 20 * time.Second},
		workload{"fasade", "c", core.Overnight, 5, 1, time.Hour})
	served := run(&fairQueue{}, eightSlots, requests, byClass)
	for class, least := range map[string]float64{"interactive": 0.85, "evening": 0.09, "overnight": 0.012} {
		share := servedShare(&fairQueue{}, requests, 2*time.Minute, class)
		t.Logf("%s: %.1f%% of the work in the time of saturation", class, 100*share)
		assert.Assert(t, share >= least, "%s got %.3f", class, share)
		assert.Assert(t, served[class].good > 0)
	}
}

// servedShare returns the share of a class in the items that started before the
// end of the arrivals.
func servedShare(q waitQueue, requests []simRequest, span time.Duration, class string) float64 {
	var ofClass, all int
	counting := &countingQueue{waitQueue: q, onPop: func(now time.Time, i queue.Item) {
		if now.Sub(t0) > span {
			return
		}
		all++
		if i.Class.String() == class {
			ofClass++
		}
	}}
	run(counting, eightSlots, requests, byClass)
	return float64(ofClass) / float64(all)
}

type countingQueue struct {
	waitQueue
	onPop func(now time.Time, i queue.Item)
}

func (c *countingQueue) pop(now time.Time) (queue.Item, bool) {
	i, ok := c.waitQueue.pop(now)
	if ok {
		c.onPop(now, i)
	}
	return i, ok
}

// Five owners each ask for more than the engine can serve, with requests of
// different cost and at different rates. Each must get about a fifth of the
// work.
func TestNoOwnerBeyondItsShare(t *testing.T) {
	var loads []workload
	for i, o := range []string{"a", "b", "c", "d", "e"} {
		loads = append(loads, workload{o, "k", core.Evening, float64(20 * (i + 1)), int64(1 + i), 5 * time.Second})
	}
	fair, fifo := runBoth(eightSlots, generate(9, time.Minute, loads...), byOwner)
	shares := func(results map[string]*result) (least, most float64) {
		var all, low, high int64
		for _, o := range []string{"a", "b", "c", "d", "e"} {
			c := results[o].cost + 1
			all += c
			high = max(high, c)
			if low == 0 || c < low {
				low = c
			}
		}
		return float64(low) / float64(all), float64(high) / float64(all)
	}
	least, most := shares(fair)
	fifoLeast, fifoMost := shares(fifo)
	t.Logf("shares %.3f to %.3f; FIFO %.3f to %.3f", least, most, fifoLeast, fifoMost)
	assert.Assert(t, least > 0.18 && most < 0.22)
	assert.Assert(t, fifoMost > 0.3)
}

// One owner sends 60 requests a second to an engine that serves 20, and five
// others send 2 each. In a FIFO queue the requests of the five wait behind the
// backlog of the one until their deadlines pass.
func TestFewCallersTakeMost(t *testing.T) {
	loads := []workload{{"greedy", "script", core.Interactive, 60, 1, 3 * time.Second}}
	for _, o := range []string{"a", "b", "c", "d", "e"} {
		loads = append(loads, workload{o, "treasurer", core.Interactive, 2, 1, 3 * time.Second})
	}
	fair, fifo := runBoth(eightSlots, generate(3, time.Minute, loads...), byOwner)
	for _, o := range []string{"a", "b", "c", "d", "e"} {
		t.Logf("%s: good %d of %d, p99 %v; FIFO good %d", o, fair[o].good, fair[o].sent, fair[o].p99(), fifo[o].good)
		assert.Assert(t, fair[o].good*100 >= fair[o].sent*98)
		assert.Assert(t, fifo[o].good*100 < fifo[o].sent*50)
	}
	t.Logf("greedy: good %d of %d", fair["greedy"].good, fair["greedy"].sent)
}

// One caller of an owner sends over ten times as many requests as another. The
// backlog must not delay the other caller of the same owner.
func TestCallersInsideOwner(t *testing.T) {
	byCaller := func(i queue.Item) string { return string(i.Caller) }
	fair, fifo := runBoth(eightSlots, generate(4, time.Minute,
		workload{"daftar", "script", core.Interactive, 50, 1, 3 * time.Second},
		workload{"daftar", "person", core.Interactive, 4, 1, 3 * time.Second}), byCaller)
	assert.Assert(t, fair["person"].good*100 >= fair["person"].sent*98, "%+v", fair["person"])
	assert.Assert(t, fifo["person"].good*100 < fifo["person"].sent*50)
}

// Long requests cost as much as fifty short ones. In arrival order they fill
// the slots, and short requests wait for a whole long one.
func TestLongAmongShort(t *testing.T) {
	up := upstreamModel{slots: 8, serviceTime: steady(50 * time.Millisecond)}
	requests := generate(5, 2*time.Minute,
		workload{"short", "site", core.Interactive, 60, 1, 3 * time.Second},
		workload{"long", "office", core.Interactive, 4, 50, 30 * time.Second})
	fair, fifo := runBoth(up, requests, byOwner)
	t.Logf("short p99 %v (good %d of %d), FIFO %v (good %d)", fair["short"].p99(), fair["short"].good,
		fair["short"].sent, fifo["short"].p99(), fifo["short"].good)
	t.Logf("long p99 %v, good %d of %d", fair["long"].p99(), fair["long"].good, fair["long"].sent)
	assert.Assert(t, fair["short"].good*100 >= fair["short"].sent*98)
	assert.Assert(t, fifo["short"].good*100 < fifo["short"].sent*90)
	assert.Assert(t, fair["long"].good > 0)
}

// Four hundred requests arrive in the same second. Those that can finish in
// time are served; the others are refused at once rather than after their wait.
func TestBurst(t *testing.T) {
	warm := generate(6, 10*time.Second, workload{"daftar", "w", core.Evening, 18, 1, 5 * time.Second})
	burst := generate(7, time.Second, workload{"fasade", "b", core.Evening, 400, 1, 5 * time.Second})
	for i := range burst {
		burst[i].at = burst[i].at.Add(10 * time.Second)
		burst[i].Deadline = burst[i].Deadline.Add(10 * time.Second)
		burst[i].ID = "burst-" + burst[i].ID
	}
	fair, fifo := runBoth(eightSlots, append(warm, burst...), byOwner)
	t.Logf("burst: good %d late %d refused %d slowest refusal at %.2f of the patience; FIFO good %d late %d",
		fair["fasade"].good, fair["fasade"].late, fair["fasade"].refused, fair["fasade"].slowestRefusal,
		fifo["fasade"].good, fifo["fasade"].late)
	assert.Assert(t, fair["fasade"].good >= 70, "the engine can do about 100 in the time")
	assert.Assert(t, fair["fasade"].late*20 <= fair["fasade"].good)
	assert.Assert(t, fifo["fasade"].late > 200)
}

// An engine is five times slower for half a minute. Requests are refused during
// that time and served again soon afterwards.
func TestSlowUpstream(t *testing.T) {
	up := upstreamModel{slots: 8, serviceTime: func(at time.Time) time.Duration {
		if s := at.Sub(t0); s > 30*time.Second && s < 60*time.Second {
			return 2 * time.Second
		}
		return 400 * time.Millisecond
	}}
	requests := generate(8, 2*time.Minute, workload{"daftar", "a", core.Interactive, 15, 1, 3 * time.Second})
	phase := func(i queue.Item) string {
		switch s := i.Deadline.Add(-3 * time.Second).Sub(t0); {
		case s < 30*time.Second:
			return "before"
		case s < 65*time.Second:
			return "slow"
		default:
			return "after"
		}
	}
	fair, fifo := runBoth(up, requests, phase)
	for _, k := range []string{"before", "slow", "after"} {
		t.Logf("%s: good %d late %d of %d; FIFO good %d", k, fair[k].good, fair[k].late, fair[k].sent, fifo[k].good)
	}
	assert.Assert(t, fair["before"].good*100 >= fair["before"].sent*99)
	assert.Assert(t, fair["slow"].good > 2*fifo["slow"].good)
	assert.Assert(t, fair["after"].good*100 >= fair["after"].sent*98)
	assert.Assert(t, fifo["after"].good*100 < fifo["after"].sent*80)
}

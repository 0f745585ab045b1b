package queue_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/queue"
)

// If most waiting items belong to an owner at its concurrency limit, the items
// of other owners must still start. The held owner's items start once its hold
// is lifted.
func TestHeldOwnersAreSkipped(t *testing.T) {
	held := map[string]queue.Hold{"a/k": queue.HoldOwner, "b/k": queue.HoldCaller}
	q := &queue.Queue{CheckHold: func(i queue.Item) queue.Hold { return held[string(i.Owner)+"/"+string(i.Caller)] }}
	for n := range 5 {
		mustPush(t, q, t0, item(fmt.Sprint("a", n), core.Interactive, "a", time.Hour))
		mustPush(t, q, t0, item(fmt.Sprint("b", n), core.Interactive, "b", time.Hour))
	}
	other := item("b-other", core.Interactive, "b", time.Hour)
	other.Caller = "other"
	mustPush(t, q, t0, other)
	mustPush(t, q, t0, item("o", core.Overnight, "c", time.Hour))
	wantPops(t, q, t0, "b-other", "o")
	_, ok := q.Pop(t0, always)
	assert.Assert(t, !ok)
	assert.Equal(t, q.Len(), 10)
	clear(held)
	// Owner b has been served once already, so a is served twice.
	wantPops(t, q, t0, "a0", "a1", "b0", "a2")
	held["a/k"], held["b/k"] = queue.HoldLane, queue.HoldLane
	_, ok = q.Pop(t0, always)
	assert.Assert(t, !ok, "a limit of the lane holds all owners")
	assert.Equal(t, q.Len(), 6)
}

// An owner that is limited to one request at a time has a long backlog while
// the engine has free slots. The lane must not count as slow, or another
// owner's request would be refused for a wait that it does not have.
func TestHeldOwnersDoNotSlowOthers(t *testing.T) {
	running := 0
	q := &queue.Queue{CheckHold: func(i queue.Item) queue.Hold {
		if i.Owner == "a" && running > 0 {
			return queue.HoldOwner
		}
		return queue.Go
	}}
	now := t0
	for n := range 40 {
		mustPush(t, q, now, item(fmt.Sprint("a", n), core.Interactive, "a", time.Hour))
	}
	for range 20 {
		i, ok := q.Pop(now, always)
		assert.Assert(t, ok)
		running = 1
		_, ok = q.Pop(now, always)
		assert.Assert(t, !ok)
		now = now.Add(time.Second)
		q.Finish(now, i.ID, queue.Served)
		running = 0
	}
	running = 1
	mustPush(t, q, now, item("b", core.Interactive, "b", now.Sub(t0)+1500*time.Millisecond))
	wantPops(t, q, now, "b")
}

// Overnight requests take every slot of an engine. An interactive request that
// arrives afterwards waits for one of them to end unless a spare slot is kept.
func TestSpareSlots(t *testing.T) {
	for spare, want := range []int{4, 3} {
		t.Run(fmt.Sprint(spare), func(t *testing.T) {
			q := &queue.Queue{Spare: spare}
			running := 0
			free := func(string) int { return 4 - running }
			for n := range 6 {
				mustPush(t, q, t0, item(fmt.Sprint("o", n), core.Overnight, "a", time.Hour))
			}
			for {
				if _, ok := q.Pop(t0, free); !ok {
					break
				}
				running++
			}
			assert.Equal(t, running, want)
			mustPush(t, q, t0, item("check", core.Interactive, "a", time.Hour))
			_, ok := q.Pop(t0, free)
			assert.Equal(t, ok, spare > 0)
		})
	}
}

// One engine serves two adapters, one with long requests and one with short
// ones. Each lane alone has work of one length only, yet long requests must
// leave slots to short ones across lanes.
func TestLongAmongShortInOneEngine(t *testing.T) {
	up := upstreamModel{slots: 8, serviceTime: steady(50 * time.Millisecond)}
	requests := generate(5, time.Minute,
		workload{"short", "site", core.Interactive, 60, 1, 3 * time.Second},
		workload{"long", "office", core.Interactive, 4, 50, 30 * time.Second})
	for n := range requests {
		requests[n].Lane = string(requests[n].Owner)
	}
	shared := run(&fairQueue{q: queue.Queue{Shared: true}}, up, requests, byOwner)
	separate := run(&fairQueue{}, up, requests, byOwner)
	t.Logf("short p99 %v, good %d of %d; separate lanes %v, good %d", shared["short"].p99(), shared["short"].good,
		shared["short"].sent, separate["short"].p99(), separate["short"].good)
	assert.Assert(t, shared["short"].good == shared["short"].sent)
	assert.Assert(t, shared["short"].p99()*10 < separate["short"].p99()*8)
}

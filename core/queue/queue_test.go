package queue_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/queue"
)

func item(id string, c core.Class, owner string, patience time.Duration) queue.Item {
	return queue.Item{
		ID: core.RequestID(id), Lane: "m", Owner: core.OwnerName(owner), Caller: "k",
		Class: c, Deadline: t0.Add(patience), Cost: 1, Size: 10,
	}
}

func always(string) int { return 1000 }

func wantPops(t *testing.T, q *queue.Queue, now time.Time, ids ...string) {
	t.Helper()
	for _, id := range ids {
		i, ok := q.Pop(now, always)
		assert.Assert(t, ok, "nothing to pop, want %s", id)
		assert.Equal(t, string(i.ID), id)
	}
}

func mustPush(t *testing.T, q *queue.Queue, now time.Time, i queue.Item) []queue.Refused {
	t.Helper()
	p := q.Push(now, i)
	assert.Assert(t, p.Refusal == nil, "%s: %v", i.ID, p.Refusal)
	return p.Displaced
}

func wantRefusal(t *testing.T, ref *core.Refusal, code core.Code) {
	t.Helper()
	assert.Assert(t, ref != nil)
	assert.Equal(t, ref.Code, code)
	assert.Equal(t, ref.Outcome, core.NotRun)
}

func TestOrder(t *testing.T) {
	t.Run("classes", func(t *testing.T) {
		q := &queue.Queue{}
		mustPush(t, q, t0, item("o", core.Overnight, "a", time.Hour))
		mustPush(t, q, t0, item("e", core.Evening, "a", time.Hour))
		mustPush(t, q, t0, item("i", core.Interactive, "a", time.Hour))
		wantPops(t, q, t0, "i", "e", "o")
	})
	t.Run("earliest deadline of a caller", func(t *testing.T) {
		q := &queue.Queue{}
		mustPush(t, q, t0, item("late", core.Evening, "a", time.Hour))
		mustPush(t, q, t0, item("soon", core.Evening, "a", time.Minute))
		wantPops(t, q, t0, "soon", "late")
	})
	t.Run("owners in turn", func(t *testing.T) {
		q := &queue.Queue{}
		for i := range 3 {
			mustPush(t, q, t0, item(fmt.Sprint("a", i), core.Evening, "a", time.Hour))
		}
		mustPush(t, q, t0, item("b0", core.Evening, "b", time.Hour))
		mustPush(t, q, t0, item("b1", core.Evening, "b", time.Hour))
		wantPops(t, q, t0, "a0", "b0", "a1", "b1", "a2")
	})
	t.Run("a blocked lane gets no credit", func(t *testing.T) {
		q := &queue.Queue{}
		for i := range 20 {
			blocked := item(fmt.Sprint("x", i), core.Evening, "x", time.Hour)
			blocked.Lane = "cold"
			mustPush(t, q, t0, blocked)
			mustPush(t, q, t0, item(fmt.Sprint("y", i), core.Evening, "y", time.Hour))
		}
		warmOnly := func(lane string) int { return len(lane) % 2 }
		assert.Equal(t, popOwner(t, q, 10, warmOnly, "y"), 10)
		half := popOwner(t, q, 10, always, "y")
		assert.Assert(t, half >= 4 && half <= 6, "half to within one item, got %d of 10", half)
	})
}

// popOwner pops n items and returns how many of them belong to the owner.
func popOwner(t *testing.T, q *queue.Queue, n int, free func(string) int, owner string) int {
	t.Helper()
	got := 0
	for range n {
		i, ok := q.Pop(t0, free)
		assert.Assert(t, ok)
		if string(i.Owner) == owner {
			got++
		}
	}
	return got
}

// A refused caller that retries at the time named in the refusal must be
// admitted if nothing else arrives in between.
func TestRetryAtIsAccurate(t *testing.T) {
	q := &queue.Queue{}
	now := t0
	for i := range 40 {
		mustPush(t, q, now, item(fmt.Sprint("w", i), core.Interactive, "a", time.Hour))
		wantPops(t, q, now, fmt.Sprint("w", i))
		now = now.Add(time.Second)
		q.Finish(now, core.RequestID(fmt.Sprint("w", i)), queue.Served)
	}
	for i := range 30 {
		mustPush(t, q, now, item(fmt.Sprint("b", i), core.Interactive, "a", time.Hour))
	}
	push := func(at time.Time) *core.Refusal {
		i := item("retry", core.Interactive, "a", 0)
		i.Deadline = at.Add(10 * time.Second)
		return q.Push(at, i).Refusal
	}
	ref := push(now)
	wantRefusal(t, ref, core.CodeWaitTooLong)
	running := ""
	for now.Before(ref.RetryAt) {
		i, ok := q.Pop(now, func(string) int { return 1 })
		assert.Assert(t, ok, "the queue is empty before RetryAt")
		running = string(i.ID)
		now = now.Add(time.Second)
		q.Finish(now, core.RequestID(running), queue.Served)
	}
	assert.Assert(t, push(now) == nil, "refused again at RetryAt")
}

func TestExpiry(t *testing.T) {
	t.Run("at the deadline", func(t *testing.T) {
		q := &queue.Queue{}
		mustPush(t, q, t0, item("a", core.Evening, "a", time.Second))
		assert.Assert(t, q.Next().Equal(t0.Add(time.Second)))
		assert.Equal(t, len(q.Expire(t0.Add(999*time.Millisecond))), 0)
		expired := q.Expire(q.Next())
		assert.Equal(t, len(expired), 1)
		wantRefusal(t, expired[0].Refusal, core.CodeDeadline)
		assert.Assert(t, q.Next().IsZero())
	})
	t.Run("removed items do not expire", func(t *testing.T) {
		q := &queue.Queue{}
		mustPush(t, q, t0, item("a", core.Evening, "a", time.Second))
		_, ok := q.Remove("a")
		assert.Assert(t, ok)
		_, ok = q.Remove("a")
		assert.Assert(t, !ok)
		assert.Equal(t, len(q.Expire(t0.Add(time.Hour))), 0)
	})
	t.Run("on its turn, when it would end too late", func(t *testing.T) {
		q := &queue.Queue{}
		mustPush(t, q, t0, item("a", core.Evening, "a", time.Minute))
		mustPush(t, q, t0, item("b", core.Evening, "a", 2*time.Minute))
		wantPops(t, q, t0, "a")
		now := t0.Add(100 * time.Second)
		q.Finish(now, "a", queue.Served)
		_, ok := q.Pop(now, always)
		assert.Assert(t, !ok, "the request takes 100 s and has 20 s left")
		wantRefusal(t, q.Expire(now)[0].Refusal, core.CodeWaitTooLong)
	})
	t.Run("passed on arrival", func(t *testing.T) {
		q := &queue.Queue{}
		wantRefusal(t, q.Push(t0, item("a", core.Evening, "a", 0)).Refusal, core.CodeDeadline)
	})
	t.Run("a lane that loads past the deadline", func(t *testing.T) {
		q := &queue.Queue{}
		q.SetReady(t0, "m", t0.Add(30*time.Second))
		wantRefusal(t, q.Push(t0, item("a", core.Evening, "a", 20*time.Second)).Refusal, core.CodeWaitTooLong)
		mustPush(t, q, t0, item("b", core.Evening, "a", 40*time.Second))
	})
}

// A lane that drains 20 requests a second waits 20 s for a load. Afterwards a
// request with 3 s left must not be refused, because the lane is as fast as
// before the load.
func TestLoadsDoNotSlowTheLane(t *testing.T) {
	for _, end := range []queue.End{queue.Served, queue.ServedCold} {
		q := &queue.Queue{}
		now, n := t0, 0
		push := func(count int) {
			for range count {
				n++
				mustPush(t, q, now, item(fmt.Sprint(n), core.Evening, "a", now.Sub(t0)+time.Minute))
			}
		}
		serve := func(count int, end queue.End) {
			for range count {
				i, ok := q.PopLane(now, "m", 1)
				assert.Assert(t, ok)
				now = now.Add(50 * time.Millisecond)
				q.Finish(now, i.ID, end)
			}
		}
		push(50)
		serve(50, queue.Served)
		push(10)
		now = now.Add(20 * time.Second)
		push(10)
		serve(2, end)
		push(10)
		mustPush(t, q, now, item("patient", core.Evening, "a", now.Sub(t0)+3*time.Second))
	}
}

func TestFull(t *testing.T) {
	t.Run("more urgent displaces overnight", func(t *testing.T) {
		q := &queue.Queue{Items: 2}
		mustPush(t, q, t0, item("o", core.Overnight, "a", time.Hour))
		mustPush(t, q, t0, item("e", core.Evening, "a", time.Hour))
		displaced := mustPush(t, q, t0, item("i", core.Interactive, "a", time.Hour))
		assert.Equal(t, len(displaced), 1)
		assert.Equal(t, string(displaced[0].Item.ID), "o")
		wantRefusal(t, displaced[0].Refusal, core.CodeOverload)
		wantRefusal(t, q.Push(t0, item("o2", core.Overnight, "b", time.Hour)).Refusal, core.CodeOverload)
	})
	t.Run("an owner who fills the queue makes room for another", func(t *testing.T) {
		q := &queue.Queue{Items: 4}
		for i := range 4 {
			mustPush(t, q, t0, item(fmt.Sprint("a", i), core.Evening, "a", time.Hour))
		}
		assert.Equal(t, len(mustPush(t, q, t0, item("b0", core.Evening, "b", time.Hour))), 1)
		assert.Equal(t, len(mustPush(t, q, t0, item("b1", core.Evening, "b", time.Hour))), 1)
		wantRefusal(t, q.Push(t0, item("b2", core.Evening, "b", time.Hour)).Refusal, core.CodeOverload)
	})
	t.Run("bytes that can not be freed displace nothing", func(t *testing.T) {
		q := &queue.Queue{Bytes: 100}
		mustPush(t, q, t0, item("o", core.Overnight, "a", time.Hour))
		mustPush(t, q, t0, item("i", core.Interactive, "a", time.Hour))
		big := item("big", core.Interactive, "b", time.Hour)
		big.Size = 95
		wantRefusal(t, q.Push(t0, big).Refusal, core.CodeOverload)
		assert.Equal(t, q.Len(), 2)
	})
	t.Run("lane", func(t *testing.T) {
		q := &queue.Queue{LaneItems: 1}
		mustPush(t, q, t0, item("a", core.Evening, "a", time.Hour))
		wantRefusal(t, q.Push(t0, item("b", core.Evening, "a", time.Hour)).Refusal, core.CodeQueueFull)
		other := item("c", core.Evening, "a", time.Hour)
		other.Lane = "n"
		mustPush(t, q, t0, other)
	})
}

// Every request that was pushed leaves the queue exactly once: popped, refused,
// displaced, expired or removed. None leaves later than its deadline, and no
// load remains once all have left.
func TestConservation(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkConservation(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// tracker records which requests wait and which run.
type tracker struct {
	t       *testing.T
	waiting map[core.RequestID]queue.Item
	running []core.RequestID
}

// remove records that a request has left the queue.
func (l *tracker) remove(i queue.Item) {
	l.t.Helper()
	_, ok := l.waiting[i.ID]
	assert.Assert(l.t, ok, "%s leaves the queue twice", i.ID)
	delete(l.waiting, i.ID)
}

func (l *tracker) refused(list []queue.Refused) {
	l.t.Helper()
	for _, r := range list {
		l.remove(r.Item)
		assert.Equal(l.t, r.Refusal.Outcome, core.NotRun)
	}
}

func checkConservation(t *testing.T, rng *rand.Rand) {
	q := &queue.Queue{Items: 50, Bytes: 3000, LaneItems: 20, Spare: rng.IntN(2), Shared: rng.IntN(2) == 0}
	q.CheckHold = func(queue.Item) queue.Hold { return queue.Hold(max(0, rng.IntN(6)-2)) }
	l := &tracker{t: t, waiting: make(map[core.RequestID]queue.Item)}
	now := t0
	for n := range 2000 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		switch rng.IntN(6) {
		case 0, 1, 2:
			l.push(q, now, randomItem(rng, now, n))
		case 3:
			l.pop(q, now, rng)
		case 4:
			l.finish(q, now, rng)
		case 5:
			l.refused(q.Expire(now))
			l.wantNoneOverdue(now)
		}
		assert.Equal(t, q.Len(), len(l.waiting))
		assert.Assert(t, q.Len() <= 50 && q.WaitingBytes() <= 3000)
	}
	l.refused(q.Expire(now.Add(time.Hour)))
	assert.Equal(t, len(l.waiting), 0)
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, q.WaitingBytes(), core.Bytes(0))
}

func randomItem(rng *rand.Rand, now time.Time, n int) queue.Item {
	return queue.Item{
		ID: core.RequestID(fmt.Sprint(n)), Lane: fmt.Sprint("lane", rng.IntN(4)),
		Owner:  core.OwnerName(fmt.Sprint("o", rng.IntN(5))),
		Caller: core.CallerName(fmt.Sprint("c", rng.IntN(3))), Class: core.Class(rng.IntN(3)),
		Deadline: now.Add(time.Duration(rng.IntN(5000)-50) * time.Millisecond),
		Cost:     1 << rng.IntN(8), Size: core.Bytes(rng.IntN(300)),
	}
}

func (l *tracker) push(q *queue.Queue, now time.Time, i queue.Item) {
	p := q.Push(now, i)
	l.refused(p.Displaced)
	if p.Refusal == nil {
		l.waiting[i.ID] = i
	}
}

func (l *tracker) pop(q *queue.Queue, now time.Time, rng *rand.Rand) {
	free := rng.IntN(4)
	i, ok := q.Pop(now, func(lane string) int { return 2 * int((lane[4]-'0')&1) * free })
	l.refused(q.Expire(now))
	if ok {
		assert.Assert(l.t, now.Before(i.Deadline), "%s starts after its deadline", i.ID)
		l.remove(i)
		l.running = append(l.running, i.ID)
	}
}

func (l *tracker) finish(q *queue.Queue, now time.Time, rng *rand.Rand) {
	if len(l.running) > 0 {
		q.Finish(now, l.running[0], queue.End(rng.IntN(3)))
		l.running = l.running[1:]
		return
	}
	if len(l.waiting) > 0 {
		i, ok := q.Remove(slices.Min(slices.Collect(maps.Keys(l.waiting))))
		assert.Assert(l.t, ok)
		l.remove(i)
	}
}

func (l *tracker) wantNoneOverdue(now time.Time) {
	for _, i := range l.waiting {
		assert.Assert(l.t, i.Deadline.After(now), "%s waits past its deadline", i.ID)
	}
}

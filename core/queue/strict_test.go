package queue_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/queue"
)

func strictItem(id string, class core.Class, owner core.OwnerName) queue.Item {
	return queue.Item{ID: core.RequestID(id), Lane: "m", Owner: owner, Caller: "c", Class: class, Cost: 1}
}

func TestStrict(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("urgent items first, in all ten classes", func(t *testing.T) {
		q := queue.Queue{Strict: true}
		for c := core.PriorityLevels - 1; c >= 0; c-- {
			for n := range 3 {
				q.Push(start, strictItem(fmt.Sprint(c, "-", n), core.Class(c), "o"))
			}
		}
		last := core.Class(0)
		for range 3 * core.PriorityLevels {
			i, ok := q.Pop(start, always)
			assert.Assert(t, ok && i.Class >= last, "%+v after %d", i, last)
			last = i.Class
		}
	})
	t.Run("a class out of range is the least urgent", func(t *testing.T) {
		q := queue.Queue{Strict: true}
		q.Push(start, strictItem("q", 200, "o"))
		assert.Equal(t, q.Waiting(core.PriorityLevels-1), 1)
	})
	t.Run("owners of a class share by cost", func(t *testing.T) {
		q := queue.Queue{Strict: true}
		for n := range 30 {
			q.Push(start, strictItem(fmt.Sprint("a-", n), 1, "a"))
		}
		for n := range 10 {
			q.Push(start, strictItem(fmt.Sprint("b-", n), 1, "b"))
		}
		count := map[core.OwnerName]int{}
		for range 20 {
			i, _ := q.Pop(start, always)
			count[i.Owner]++
		}
		assert.Equal(t, count["b"], 10)
	})
	t.Run("what more urgent items cost is ahead, what less urgent ones cost is not", func(t *testing.T) {
		q := queue.Queue{Strict: true}
		q.Push(start, strictItem("urgent", 0, "o"))
		q.Pop(start, always)
		q.Finish(start.Add(time.Second), "urgent", queue.Served)
		for n := range 8 {
			q.Push(start, strictItem(fmt.Sprint("w-", n), 1, "o"))
		}
		before, _ := q.Estimate(start, strictItem("x", 0, "o"))
		behind, _ := q.Estimate(start, strictItem("x", 2, "o"))
		assert.Equal(t, before, start)
		assert.Assert(t, behind.Sub(start) > 4*time.Second, "%v", behind.Sub(start))
	})
}

// Guards against a host without room that looks like a customer's limit: its lane would seem to
// drain without delay, and no request would be refused however long it has to wait.
func TestNoRoomIsMeasured(t *testing.T) {
	now := time.Unix(1000, 0)
	room := false
	q := queue.Queue{Strict: true, CheckHold: func(queue.Item) queue.Hold {
		if room {
			return queue.Go
		}
		return queue.HoldRoom
	}}
	for n := range 40 {
		q.Push(now, strictItem(fmt.Sprint("q-", n), 1, "o"))
	}
	for range 20 {
		_, ok := q.Pop(now, always)
		assert.Assert(t, !ok)
		now = now.Add(200 * time.Millisecond)
		room = true
		i, ok := q.Pop(now, always)
		room = false
		assert.Assert(t, ok)
		q.Finish(now.Add(100*time.Millisecond), i.ID, queue.Served)
	}
	at, _ := q.Estimate(now, strictItem("x", 1, "o"))
	assert.Assert(t, at.Sub(now) > 2*time.Second, "%v", at.Sub(now))
}

// Guards against a customer whose items cannot start and that keeps those of others waiting.
func TestNoRoomForOneOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	q := queue.Queue{Strict: true, CheckHold: func(i queue.Item) queue.Hold {
		if i.Owner == "large" {
			return queue.HoldRoom
		}
		return queue.Go
	}}
	q.Push(now, strictItem("a", 1, "large"))
	q.Push(now, strictItem("b", 1, "small"))
	i, ok := q.Pop(now, always)
	assert.Assert(t, ok && i.ID == "b")
}

// The memory of 100,000 waiting requests of 180 models is under 100 MB.
func TestStrictMemory(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := queue.Queue{Strict: true}
	now := time.Unix(1000, 0)
	for n := range 100_000 {
		q.Push(now, queue.Item{
			ID: core.RequestID(fmt.Sprint("q-", n)), Lane: fmt.Sprint("model-", rng.IntN(180)), Owner: core.OwnerName(fmt.Sprint("o-", rng.IntN(16))),
			Caller: core.CallerName(fmt.Sprint("c-", rng.IntN(60))), Class: core.Class(rng.IntN(3)), Cost: int64(rng.IntN(10_000)),
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, q.Len(), 100_000)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, used < 100<<20, "%d MB", used>>20)
}

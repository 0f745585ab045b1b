package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"radishwell/core"
	"radishwell/core/queue"
)

// manyItems returns n items of 55 owners with 20 callers each, spread over 200
// lanes.
func manyItems(n int) []queue.Item {
	list := make([]queue.Item, n)
	for i := range list {
		list[i] = queue.Item{
			ID: core.RequestID(fmt.Sprint("request-", i)), Lane: fmt.Sprint("m", i%200),
			Owner: core.OwnerName(fmt.Sprint("o", i%55)), Caller: core.CallerName(fmt.Sprint("c", i/55%20)),
			Class: core.Class(i % 3), Deadline: t0.Add(time.Hour + time.Duration(i%977)*time.Second),
			Cost: int64(1 + i%500), Size: 1000,
		}
	}
	return list
}

func filledQueue(list []queue.Item) *queue.Queue {
	q := &queue.Queue{Items: len(list) + 1, Bytes: core.TiB}
	for _, i := range list {
		q.Push(t0, i)
	}
	return q
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkWaiting reports the memory per item of a queue with 100,000 waiting
// items. The strings of the items are excluded because the entry holds them in
// any case.
func BenchmarkWaiting(b *testing.B) {
	list := manyItems(100_000)
	for b.Loop() {
		before := heapBytes()
		q := filledQueue(list)
		b.ReportMetric(float64(heapBytes()-before)/float64(len(list)), "B/item")
		runtime.KeepAlive(q)
	}
	runtime.KeepAlive(list)
}

// BenchmarkPushPop pushes and pops one item while 100 or 100,000 others wait.
func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := filledQueue(manyItems(n))
			i, _ := q.Pop(t0, always)
			b.ReportAllocs()
			for b.Loop() {
				q.Finish(t0, i.ID, queue.Failed)
				q.Push(t0, i)
				i, _ = q.Pop(t0, always)
			}
		})
	}
}

// BenchmarkPopLane is BenchmarkPushPop for a process that knows which lane has
// a free slot.
func BenchmarkPopLane(b *testing.B) {
	q := filledQueue(manyItems(100_000))
	i, _ := q.PopLane(t0, "m7", 1)
	b.ReportAllocs()
	for b.Loop() {
		q.Finish(t0, i.ID, queue.Failed)
		q.Push(t0, i)
		i, _ = q.PopLane(t0, "m7", 1)
	}
}

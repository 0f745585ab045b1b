// Package agenda orders what happens at given times, for replays and for plays
// in tests: the earliest first, and what has the same time in the order in which
// it was put in, so that a run is the same every time.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is a list of things to come. The zero value is empty and ready.
type Agenda[T any] struct {
	items items[T]
	count int
}

type item[T any] struct {
	at    time.Time
	count int
	what  T
}

// Put adds what happens at a time.
func (a *Agenda[T]) Put(at time.Time, what T) {
	a.count++
	heap.Push(&a.items, item[T]{at, a.count, what})
}

// Len returns how much is to come.
func (a *Agenda[T]) Len() int { return len(a.items) }

// Next returns when the next thing happens; false where nothing is to come.
func (a *Agenda[T]) Next() (time.Time, bool) {
	if len(a.items) == 0 {
		return time.Time{}, false
	}
	return a.items[0].at, true
}

// Take removes and returns the next thing. Len must not be zero.
func (a *Agenda[T]) Take() (time.Time, T) {
	i := heap.Pop(&a.items).(item[T])
	return i.at, i.what
}

type items[T any] []item[T]

func (h items[T]) Len() int { return len(h) }
func (h items[T]) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].count < h[j].count
}
func (h items[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *items[T]) Push(x any)   { *h = append(*h, x.(item[T])) }
func (h *items[T]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

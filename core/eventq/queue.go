// Package eventq is an event queue for replays and simulations. It returns the earliest
// event first, and events with the same time in the order in which they were added, so that
// every run is the same.
package eventq

import (
	"container/heap"
	"time"
)

// Queue is a queue of events ordered by time. The zero value is empty and ready for use.
// It is not safe for concurrent use.
type Queue[T any] struct {
	items    items[T]
	sequence int
}

type item[T any] struct {
	at       time.Time
	sequence int
	event    T
}

// Push adds an event at a time.
func (a *Queue[T]) Push(at time.Time, event T) {
	a.sequence++
	heap.Push(&a.items, item[T]{at, a.sequence, event})
}

// Len returns the number of events.
func (a *Queue[T]) Len() int { return len(a.items) }

// NextTime returns the time of the next event, false if there is none.
func (a *Queue[T]) NextTime() (time.Time, bool) {
	if len(a.items) == 0 {
		return time.Time{}, false
	}
	return a.items[0].at, true
}

// Pop removes and returns the next event. It panics if there is none.
func (a *Queue[T]) Pop() (time.Time, T) {
	i := heap.Pop(&a.items).(item[T])
	return i.at, i.event
}

type items[T any] []item[T]

func (h items[T]) Len() int { return len(h) }
func (h items[T]) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[j].sequence
}
func (h items[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *items[T]) Push(x any)   { *h = append(*h, x.(item[T])) }
func (h *items[T]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

package queue

import "container/heap"

// order is the heap.Interface over a slice of pointers: before compares two
// elements, moved tells one its new place (-1 when it has left).
type order[T any] struct {
	list   []T
	before func(a, b T) bool
	moved  func(e T, place int)
}

// Len implements heap.Interface.
func (h *order[T]) Len() int { return len(h.list) }

// Less implements heap.Interface.
func (h *order[T]) Less(i, j int) bool { return h.before(h.list[i], h.list[j]) }

// Swap implements heap.Interface.
func (h *order[T]) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.moved(h.list[i], i)
	h.moved(h.list[j], j)
}

// Push implements heap.Interface; callers use add.
func (h *order[T]) Push(x any) {
	e := x.(T)
	h.moved(e, len(h.list))
	h.list = append(h.list, e)
}

// Pop implements heap.Interface; callers use cut.
func (h *order[T]) Pop() any {
	var zero T
	last := len(h.list) - 1
	e := h.list[last]
	h.list[last] = zero
	h.list = h.list[:last]
	h.moved(e, -1)
	return e
}

func (h *order[T]) add(e T) { heap.Push(h, e) }

func (h *order[T]) cut(place int) { heap.Remove(h, place) }

func (h *order[T]) fix(place int) { heap.Fix(h, place) }

func (h *order[T]) top() T { return h.list[0] }

package queue

import "container/heap"

// indexedHeap implements heap.Interface for a slice of pointers. The less
// function compares two elements, and setIndex stores an element's index in it,
// or -1 after its removal.
type indexedHeap[T any] struct {
	elems    []T
	less     func(a, b T) bool
	setIndex func(e T, index int)
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.elems) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elems[i], h.elems[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.elems[i], h.elems[j] = h.elems[j], h.elems[i]
	h.setIndex(h.elems[i], i)
	h.setIndex(h.elems[j], j)
}

// Push implements heap.Interface. Other code calls insert.
func (h *indexedHeap[T]) Push(x any) {
	elem := x.(T)
	h.setIndex(elem, len(h.elems))
	h.elems = append(h.elems, elem)
}

// Pop implements heap.Interface. Other code calls remove.
func (h *indexedHeap[T]) Pop() any {
	var zero T
	last := len(h.elems) - 1
	elem := h.elems[last]
	h.elems[last] = zero
	h.elems = h.elems[:last]
	h.setIndex(elem, -1)
	return elem
}

func (h *indexedHeap[T]) insert(elem T) { heap.Push(h, elem) }

func (h *indexedHeap[T]) remove(index int) { heap.Remove(h, index) }

func (h *indexedHeap[T]) fix(index int) { heap.Fix(h, index) }

func (h *indexedHeap[T]) top() T { return h.elems[0] }

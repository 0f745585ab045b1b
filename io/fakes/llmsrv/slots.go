package llmsrv

import (
	"context"
	"slices"
	"sync"

	"radishwell/core"
)

// slots is a semaphore that limits the number of runs in progress. Runs of the most urgent
// class get a slot first, in the order of their arrival within a class.
type slots struct {
	mu     sync.Mutex
	free   int
	queues [core.ClassCount][]chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

// waiting returns the number of runs that wait for a slot.
func (s *slots) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.queues {
		n += len(l)
	}
	return n
}

// acquire waits for a slot. It returns false if ctx ends before.
func (s *slots) acquire(ctx context.Context, class core.Class) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.queues[class] = append(s.queues[class], turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		s.abandon(class, turn)
		return false
	}
}

// abandon removes a waiter from its queue. If it has received a slot meanwhile, abandon
// releases the slot.
func (s *slots) abandon(class core.Class, turn chan struct{}) {
	s.mu.Lock()
	i := slices.Index(s.queues[class], turn)
	if i >= 0 {
		s.queues[class] = slices.Delete(s.queues[class], i, i+1)
	}
	s.mu.Unlock()
	if i < 0 {
		s.release()
	}
}

// release passes a slot to the next waiter, or frees it.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for class := range s.queues {
		if len(s.queues[class]) > 0 {
			close(s.queues[class][0])
			s.queues[class] = s.queues[class][1:]
			return
		}
	}
	s.free++
}

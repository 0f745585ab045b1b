package llmsrv

import (
	"context"
	"slices"
	"sync"

	"radishwell/core"
)

// slots lets a bounded number of runs make progress, the most urgent class
// first and in order of arrival within a class.
type slots struct {
	mu   sync.Mutex
	free int
	line [core.ClassCount][]chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n} }

func (s *slots) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.line {
		n += len(l)
	}
	return n
}

// take waits for a slot; it returns false when the context ends first.
func (s *slots) take(ctx context.Context, class core.Class) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.line[class] = append(s.line[class], turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		s.leave(class, turn)
		return false
	}
}

// leave takes a waiter out of the line; one that was given its slot meanwhile
// passes it on.
func (s *slots) leave(class core.Class, turn chan struct{}) {
	s.mu.Lock()
	i := slices.Index(s.line[class], turn)
	if i >= 0 {
		s.line[class] = slices.Delete(s.line[class], i, i+1)
	}
	s.mu.Unlock()
	if i < 0 {
		s.give()
	}
}

func (s *slots) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for class := range s.line {
		if len(s.line[class]) > 0 {
			close(s.line[class][0])
			s.line[class] = s.line[class][1:]
			return
		}
	}
	s.free++
}

package relay

import (
	"context"
	"sync"

	"radishwell/core"
	"radishwell/wire"
)

// DefaultWindow is how many bytes of an answer a spool holds for readers that
// come back: about a thousand streamed tokens.
const DefaultWindow = 256 << 10

// LostError reports an offset that a spool no longer holds.
type LostError struct{ Offset, First int64 }

// Error implements error.
func (e *LostError) Error() string { return "the answer's beginning is no longer held" }

// Spool holds an answer between the upstream that produces it and the
// connections that read it.
//
// It answers two failures. A connection that something between entry and agent
// has lost track of goes silent: the entry opens a new one and reads on at its
// offset, so no token is lost or doubled. A reader slower than the upstream
// would make the answer pile up: the writer waits once it is a window ahead of
// the reader, so memory stays bounded.
type Spool struct {
	// Window is the most bytes held before and after the reader's offset.
	Window int
	mu     sync.Mutex
	head   *wire.AnswerHead
	data   []byte
	first  int64 // offset of data[0] in the answer
	read   int64 // the reader's offset
	end    *wire.End
	turn   chan struct{}
}

// NewSpool returns a spool with the default window.
func NewSpool() *Spool { return &Spool{Window: DefaultWindow, turn: make(chan struct{})} }

// wake tells all waiters that something changed. The caller holds the lock.
func (s *Spool) wake() {
	close(s.turn)
	s.turn = make(chan struct{})
}

// Head sets the answer's status and header.
func (s *Spool) Head(h *wire.AnswerHead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = h
	s.wake()
}

// Write appends to the answer. It blocks while the writer is a window ahead of
// the reader; its error is the context's.
func (s *Spool) Write(ctx context.Context, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.first+int64(len(s.data))-s.read > int64(s.Window) {
		turn := s.turn
		s.mu.Unlock()
		select {
		case <-turn:
		case <-ctx.Done():
			s.mu.Lock()
			return context.Cause(ctx)
		}
		s.mu.Lock()
	}
	s.data = append(s.data, p...)
	s.trim()
	s.wake()
	return nil
}

// trim drops what lies more than a window before the reader.
func (s *Spool) trim() {
	drop := s.read - s.first - int64(s.Window)
	if drop < int64(s.Window) {
		return
	}
	s.data = append(make([]byte, 0, len(s.data)-int(drop)+s.Window), s.data[drop:]...)
	s.first += drop
}

// Notify tells the readers of an answer that is kept elsewhere that it has
// grown.
func (s *Spool) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// Peek returns the answer's head and end without its data.
func (s *Spool) Peek() Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Step{Head: s.head, End: s.end, Turn: s.turn}
}

// End closes the answer. Only the first call counts.
func (s *Spool) End(e *wire.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return
	}
	e.Bytes = s.first + int64(len(s.data))
	s.end = e
	s.wake()
}

// Ended returns the end, or nil while the answer is growing.
func (s *Spool) Ended() *wire.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// Size returns how many bytes of the answer there are so far.
func (s *Spool) Size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first + int64(len(s.data))
}

// maxPiece keeps a data frame well below what a reader accepts.
const maxPiece = 64 << 10

// Next implements Source. Its error is a LostError.
func (s *Spool) Next(offset int64) (Step, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := offset - s.first
	if at < 0 || at > int64(len(s.data)) {
		return Step{}, &LostError{Offset: offset, First: s.first}
	}
	if offset > s.read {
		s.read = offset
		s.trim()
		s.wake()
		at = offset - s.first
	}
	piece := s.data[at:]
	if len(piece) > maxPiece {
		piece = piece[:maxPiece]
	}
	return Step{Head: s.head, Data: piece, End: s.end, Turn: s.turn}, nil
}

// Refused returns the refusal the answer ended with, or nil.
func (s *Spool) Refused(host core.HostName) *core.Refusal {
	if e := s.Ended(); e != nil {
		return RefusalOf(e, host)
	}
	return nil
}

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
	// Whole keeps the answer from its beginning, for a keyed request whose
	// repeat gets the same answer.
	Whole bool

	mu    sync.Mutex
	head  *wire.AnswerHead
	data  []byte
	first int64 // offset of data[0] in the answer
	read  int64 // the reader's offset
	end   *wire.End
	turn  chan struct{}
}

// NewSpool returns a spool with the default window.
func NewSpool(whole bool) *Spool {
	return &Spool{Window: DefaultWindow, Whole: whole, turn: make(chan struct{})}
}

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
	for !s.Whole && s.first+int64(len(s.data))-s.read > int64(s.Window) {
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
	if s.Whole || drop < int64(s.Window) {
		return
	}
	s.data = append(make([]byte, 0, len(s.data)-int(drop)+s.Window), s.data[drop:]...)
	s.first += drop
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

// Copy writes the answer from an offset to a connection until the answer ends.
// The head is sent first where the offset is zero. Its errors are the
// context's, the connection's, or a LostError.
func (s *Spool) Copy(ctx context.Context, w *Writer, offset int64) error {
	headed := offset > 0
	for {
		step, err := s.next(offset)
		if err != nil {
			return err
		}
		if !headed && step.head != nil {
			if err := w.Head(step.head); err != nil {
				return err
			}
			headed = true
		}
		if len(step.data) > 0 {
			if err := w.Data(step.data); err != nil {
				return err
			}
			offset += int64(len(step.data))
			continue
		}
		if step.end != nil {
			return w.End(step.end)
		}
		select {
		case <-step.turn:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

type step struct {
	head *wire.AnswerHead
	data []byte
	end  *wire.End
	turn <-chan struct{}
}

// maxPiece keeps a data frame well below what a reader accepts.
const maxPiece = 64 << 10

func (s *Spool) next(offset int64) (step, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := offset - s.first
	if at < 0 || at > int64(len(s.data)) {
		return step{}, &LostError{Offset: offset, First: s.first}
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
	return step{head: s.head, data: piece, end: s.end, turn: s.turn}, nil
}

// Refused returns the refusal the answer ended with, or nil.
func (s *Spool) Refused(host core.HostName) *core.Refusal {
	if e := s.Ended(); e != nil {
		return RefusalOf(e, host)
	}
	return nil
}

package relay

import (
	"context"
	"sync"

	"radishwell/core"
	"radishwell/wire"
)

// DefaultWindow is the default of Spool.Window in bytes: about a thousand streamed
// tokens.
const DefaultWindow = 256 << 10

// LostError reports an offset that is outside the data that a spool holds. First is the
// first offset held.
type LostError struct{ Offset, First int64 }

// Error implements error.
func (e *LostError) Error() string { return "the answer's beginning is no longer held" }

// Spool buffers an answer between the upstream that produces it and the connections that
// read it. Its methods may be called from several goroutines.
//
// It handles two failures. If a connection goes silent, because a device between entry
// and agent has lost its state, the entry opens a new one and resumes at its offset, so
// no token is lost or repeated. If a reader is slower than the upstream, the writer
// blocks once it is a window ahead of the reader, so memory stays bounded.
type Spool struct {
	// Window is the largest number of bytes held on each side of the reader's offset; it
	// may be exceeded by one write ahead of the reader, and by up to a window behind it.
	Window       int
	mu           sync.Mutex
	head         *wire.AnswerHead
	data         []byte
	start        int64 // offset of data[0] in the answer
	readerOffset int64 // the largest offset passed to Next
	end          *wire.End
	changed      chan struct{}
}

// NewSpool returns a spool with the default window.
func NewSpool() *Spool { return &Spool{Window: DefaultWindow, changed: make(chan struct{})} }

// broadcast wakes all goroutines that wait for a change. The caller holds mu.
func (s *Spool) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Head sets the status and header of the answer.
func (s *Spool) Head(h *wire.AnswerHead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = h
	s.broadcast()
}

// Write appends to the answer. It blocks while the writer is more than a window ahead of
// the reader. Its error is the context's cause.
func (s *Spool) Write(ctx context.Context, p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.start+int64(len(s.data))-s.readerOffset > int64(s.Window) {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			s.mu.Lock()
			return context.Cause(ctx)
		}
		s.mu.Lock()
	}
	s.data = append(s.data, p...)
	s.trim()
	s.broadcast()
	return nil
}

// trim drops data that lies more than a window before the reader's offset, once that is a
// window's worth. The caller holds mu.
func (s *Spool) trim() {
	excess := s.readerOffset - s.start - int64(s.Window)
	if excess < int64(s.Window) {
		return
	}
	s.data = append(make([]byte, 0, len(s.data)-int(excess)+s.Window), s.data[excess:]...)
	s.start += excess
}

// Notify wakes readers. It is for answers whose data is stored outside the spool and has
// grown.
func (s *Spool) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcast()
}

// Peek returns the answer's head and end without data.
func (s *Spool) Peek() Chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Chunk{Head: s.head, End: s.end, Changed: s.changed}
}

// End completes the answer. Calls after the first have no effect.
func (s *Spool) End(e *wire.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return
	}
	e.Bytes = s.start + int64(len(s.data))
	s.end = e
	s.broadcast()
}

// Ended returns the end, or nil if the answer is not complete.
func (s *Spool) Ended() *wire.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// Size returns the number of bytes written so far.
func (s *Spool) Size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start + int64(len(s.data))
}

// maxData bounds the bytes in a data frame, well below maxFrame.
const maxData = 64 << 10

// Next implements Source. Its error is a LostError.
func (s *Spool) Next(offset int64) (Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := offset - s.start
	if at < 0 || at > int64(len(s.data)) {
		return Chunk{}, &LostError{Offset: offset, First: s.start}
	}
	if offset > s.readerOffset {
		s.readerOffset = offset
		s.trim()
		s.broadcast()
		at = offset - s.start
	}
	piece := s.data[at:]
	if len(piece) > maxData {
		piece = piece[:maxData]
	}
	return Chunk{Head: s.head, Data: piece, End: s.end, Changed: s.changed}, nil
}

// Refusal returns the refusal with which the answer ended, or nil.
func (s *Spool) Refusal(host core.HostName) *core.Refusal {
	if e := s.Ended(); e != nil {
		return RefusalOf(e, host)
	}
	return nil
}

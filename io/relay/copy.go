package relay

import (
	"context"

	"radishwell/wire"
)

// Step is what an answer has from an offset on.
type Step struct {
	// Head is nil until the upstream has answered.
	Head *wire.AnswerHead
	// Data follows the offset; it must not be changed.
	Data []byte
	// End is set once the answer is complete; it counts when Data is empty.
	End *wire.End
	// Turn is closed when there is more.
	Turn <-chan struct{}
}

// Source returns the step of a growing answer at an offset.
type Source func(offset int64) (Step, error)

// Copy writes an answer from an offset to a connection until the answer ends.
// The head is sent first where the offset is zero. Its errors are the
// context's, the connection's, or the source's.
func Copy(ctx context.Context, w *Writer, from Source, offset int64) error {
	headed := offset > 0
	for {
		step, err := from(offset)
		if err != nil {
			return err
		}
		if !headed && step.Head != nil {
			if err := w.Head(step.Head); err != nil {
				return err
			}
			headed = true
		}
		if len(step.Data) > 0 {
			if err := w.Data(step.Data); err != nil {
				return err
			}
			offset += int64(len(step.Data))
			if len(step.Data) < maxPiece {
				continue
			}
		}
		if len(step.Data) == 0 && step.End != nil {
			return Finish(w, step.End)
		}
		// A token is never held back: what is there is sent before the wait.
		if err := w.Flush(); err != nil {
			return err
		}
		if len(step.Data) > 0 {
			continue
		}
		select {
		case <-step.Turn:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Finish writes the last frame and sends it.
func Finish(w *Writer, e *wire.End) error {
	if err := w.End(e); err != nil {
		return err
	}
	return w.Flush()
}

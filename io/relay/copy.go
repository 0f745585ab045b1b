package relay

import (
	"context"

	"radishwell/wire"
)

// Chunk is the state of an answer at an offset, with some of the data there.
type Chunk struct {
	// Head is nil until the upstream has answered.
	Head *wire.AnswerHead
	// Data is the part of the body that begins at the offset. It must not be changed.
	Data []byte
	// End is set once the answer is complete. It applies only if Data is empty.
	End *wire.End
	// Changed is closed when the answer has changed.
	Changed <-chan struct{}
}

// Source returns the chunk of a growing answer at an offset in bytes of its body.
type Source func(offset int64) (Chunk, error)

// Copy writes an answer from an offset to a connection until the answer ends. The head is
// sent first if the offset is zero. Its error is that of the context, the connection or
// the source.
func Copy(ctx context.Context, w *Writer, from Source, offset int64) error {
	headSent := offset > 0
	for {
		chunk, err := from(offset)
		if err != nil {
			return err
		}
		if !headSent && chunk.Head != nil {
			if err := w.Head(chunk.Head); err != nil {
				return err
			}
			headSent = true
		}
		if len(chunk.Data) > 0 {
			if err := w.Data(chunk.Data); err != nil {
				return err
			}
			offset += int64(len(chunk.Data))
			if len(chunk.Data) < maxData {
				continue
			}
		}
		if len(chunk.Data) == 0 && chunk.End != nil {
			return Finish(w, chunk.End)
		}
		// Tokens are not delayed: pending data is sent before the wait for more.
		if err := w.Flush(); err != nil {
			return err
		}
		if len(chunk.Data) > 0 {
			continue
		}
		select {
		case <-chunk.Changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Finish writes the last frame and flushes the writer.
func Finish(w *Writer, e *wire.End) error {
	if err := w.End(e); err != nil {
		return err
	}
	return w.Flush()
}

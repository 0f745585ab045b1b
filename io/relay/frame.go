package relay

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"radishwell/core"
	"radishwell/wire"
)

const (
	// maxHead bounds the head of a request, its header fields included.
	maxHead = 1 << 20
	// maxFrame bounds one frame. An agent cuts its data smaller than that.
	maxFrame   = 1 << 20
	readBuffer = 16 << 10
)

// FrameError reports an answer that breaks the framing or ends without an end.
type FrameError struct{ Cause error }

// Error implements error.
func (e *FrameError) Error() string { return "broken answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

// WriteHead writes the head of a request.
func WriteHead(w io.Writer, head *wire.WorkHead) error {
	_, err := protodelim.MarshalTo(w, head)
	return err
}

// ReadHead reads the head of a request; the body follows on the same reader.
func ReadHead(r *bufio.Reader) (*wire.WorkHead, error) {
	head := &wire.WorkHead{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHead}).UnmarshalFrom(r, head); err != nil {
		return nil, &FrameError{Cause: err}
	}
	return head, nil
}

// Writer writes an answer's frames. They are gathered until Flush: each flush is
// a packet and wakes the reader, and several frames are often there at once.
type Writer struct {
	to    io.Writer
	flush *http.ResponseController
	buf   []byte
	frame wire.Frame
	data  wire.Frame_Data
}

// NewWriter returns a writer of frames on an HTTP response.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{to: w, flush: http.NewResponseController(w)}
}

// Head writes the upstream's status and header.
func (w *Writer) Head(h *wire.AnswerHead) error {
	w.frame.Kind = &wire.Frame_Head{Head: h}
	return w.write()
}

// Data writes a piece of the body.
func (w *Writer) Data(p []byte) error {
	w.data.Data = p
	w.frame.Kind = &w.data
	return w.write()
}

// End writes the last frame.
func (w *Writer) End(e *wire.End) error {
	w.frame.Kind = &wire.Frame_End{End: e}
	return w.write()
}

func (w *Writer) write() error {
	var err error
	w.buf = protowire.AppendVarint(w.buf, uint64(proto.Size(&w.frame)))
	w.buf, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.buf, &w.frame)
	return err
}

// Flush sends the frames written since the last one.
func (w *Writer) Flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	_, err := w.to.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		return err
	}
	return w.flush.Flush()
}

// Reader reads an answer's frames.
type Reader struct {
	from *bufio.Reader
	buf  []byte
	data wire.Frame_Data
}

var readers = sync.Pool{New: func() any { return &Reader{from: bufio.NewReaderSize(nil, readBuffer)} }}

// NewReader returns a reader of frames. Release gives its buffers back; it need
// not be called.
func NewReader(from io.Reader) *Reader {
	r := readers.Get().(*Reader)
	r.from.Reset(from)
	return r
}

// Release ends the use of the reader and of the data it has read.
func (r *Reader) Release() {
	r.from.Reset(nil)
	r.data.Data = nil
	if cap(r.buf) > maxPiece {
		r.buf = nil
	}
	readers.Put(r)
}

// Next reads the next frame into f. The bytes of a data frame are valid until
// the next call. Its error is a FrameError; the end of the stream is one too,
// since an answer is complete only with its end frame.
func (r *Reader) Next(f *wire.Frame) error {
	if err := r.next(f); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return &FrameError{Cause: err}
	}
	return nil
}

// SizeError reports a frame that is larger than any that is sent.
type SizeError struct{ Size uint64 }

// Error implements error.
func (*SizeError) Error() string { return "the frame is too large" }

func (r *Reader) next(f *wire.Frame) error {
	size, err := binary.ReadUvarint(r.from)
	if err != nil {
		return err
	}
	if size > maxFrame {
		return &SizeError{Size: size}
	}
	r.buf = slices.Grow(r.buf[:0], int(size))[:size]
	if _, err := io.ReadFull(r.from, r.buf); err != nil {
		return err
	}
	if piece, ok := dataOf(r.buf); ok {
		r.data.Data = piece
		f.Kind = &r.data
		return nil
	}
	return proto.Unmarshal(r.buf, f)
}

// dataField is the number of the data field in wire.Frame.
const dataField = 2

// dataOf returns the bytes of a frame that is a data frame and nothing else.
// Nearly all frames are; decoding them like others takes three allocations for
// each token.
func dataOf(frame []byte) ([]byte, bool) {
	number, kind, n := protowire.ConsumeTag(frame)
	if n < 0 || number != dataField || kind != protowire.BytesType {
		return nil, false
	}
	piece, m := protowire.ConsumeBytes(frame[n:])
	return piece, m >= 0 && n+m == len(frame)
}

// EndOf returns the end frame of a refusal; of a whole answer where r is nil.
func EndOf(r *core.Refusal) *wire.End {
	if r == nil {
		return &wire.End{Outcome: uint32(core.Done)}
	}
	e := &wire.End{Outcome: uint32(r.Outcome), Code: string(r.Code), Reason: r.Reason}
	if !r.RetryAt.IsZero() {
		e.RetryAt = r.RetryAt.UnixNano()
	}
	return e
}

// RefusalOf returns the refusal an end frame carries, or nil for a whole
// answer.
func RefusalOf(e *wire.End, host core.HostName) *core.Refusal {
	if core.Outcome(e.GetOutcome()) == core.Done {
		return nil
	}
	r := &core.Refusal{Code: core.Code(e.GetCode()), Outcome: core.Outcome(e.GetOutcome()), Reason: e.GetReason(), Host: host}
	r.RetryAt = Time(e.GetRetryAt())
	return r
}

// Time returns a time sent as nanoseconds since the Unix epoch; zero is the
// zero time.
func Time(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

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
	// maxHead bounds the head of a request in bytes, including its header fields.
	maxHead = 1 << 20
	// maxFrame bounds one frame in bytes. An agent sends at most maxData bytes in a
	// frame.
	maxFrame       = 1 << 20
	readBufferSize = 16 << 10
)

// FrameError reports an answer that breaks the framing or that ends without an end frame.
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

// ReadHead reads the head of a request; the body follows on the same reader. Its error is
// a FrameError.
func ReadHead(r *bufio.Reader) (*wire.WorkHead, error) {
	head := &wire.WorkHead{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHead}).UnmarshalFrom(r, head); err != nil {
		return nil, &FrameError{Cause: err}
	}
	return head, nil
}

// Writer writes the frames of an answer. It buffers them until Flush, because each flush
// sends a packet and wakes the reader, and several frames are often ready at once.
type Writer struct {
	w       io.Writer
	control *http.ResponseController
	buf     []byte
	frame   wire.Frame
	data    wire.Frame_Data
}

// NewWriter returns a Writer that writes frames to an HTTP response.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{w: w, control: http.NewResponseController(w)}
}

// Head writes the status and header of the upstream's answer.
func (w *Writer) Head(h *wire.AnswerHead) error {
	w.frame.Kind = &wire.Frame_Head{Head: h}
	return w.write()
}

// Data writes a part of the body.
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

// Flush sends the frames written since the last flush.
func (w *Writer) Flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	_, err := w.w.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		return err
	}
	return w.control.Flush()
}

// Reader reads the frames of an answer.
type Reader struct {
	r    *bufio.Reader
	buf  []byte
	data wire.Frame_Data
}

var readerPool = sync.Pool{New: func() any { return &Reader{r: bufio.NewReaderSize(nil, readBufferSize)} }}

// NewReader returns a Reader from a pool. Release returns it to the pool; calling it is
// optional.
func NewReader(from io.Reader) *Reader {
	r := readerPool.Get().(*Reader)
	r.r.Reset(from)
	return r
}

// Release returns the reader to the pool. Neither the reader nor data read from it may be
// used afterwards.
func (r *Reader) Release() {
	r.r.Reset(nil)
	r.data.Data = nil
	if cap(r.buf) > maxData {
		r.buf = nil
	}
	readerPool.Put(r)
}

// Next reads the next frame into f. The bytes of a data frame are valid until the next
// call. Its error is a FrameError. The end of the stream is an error, too, since an
// answer is complete only with its end frame.
func (r *Reader) Next(f *wire.Frame) error {
	if err := r.next(f); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return &FrameError{Cause: err}
	}
	return nil
}

// SizeError reports a frame of more than maxFrame bytes.
type SizeError struct{ Size uint64 }

// Error implements error.
func (*SizeError) Error() string { return "the frame is too large" }

func (r *Reader) next(f *wire.Frame) error {
	size, err := binary.ReadUvarint(r.r)
	if err != nil {
		return err
	}
	if size > maxFrame {
		return &SizeError{Size: size}
	}
	r.buf = slices.Grow(r.buf[:0], int(size))[:size]
	if _, err := io.ReadFull(r.r, r.buf); err != nil {
		return err
	}
	if piece, ok := decodeData(r.buf); ok {
		r.data.Data = piece
		f.Kind = &r.data
		return nil
	}
	return proto.Unmarshal(r.buf, f)
}

// dataFieldNumber is the number of the data field in wire.Frame.
const dataFieldNumber = 2

// decodeData returns the bytes of a frame that holds a data field and nothing else, which
// nearly all frames do. Decoding them with package proto takes three allocations for each
// token.
func decodeData(frame []byte) ([]byte, bool) {
	number, kind, n := protowire.ConsumeTag(frame)
	if n < 0 || number != dataFieldNumber || kind != protowire.BytesType {
		return nil, false
	}
	piece, m := protowire.ConsumeBytes(frame[n:])
	return piece, m >= 0 && n+m == len(frame)
}

// EndOf returns the end frame for a refusal; a nil refusal stands for a complete answer.
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

// RefusalOf returns the refusal in an end frame, or nil for a complete answer.
func RefusalOf(e *wire.End, host core.HostName) *core.Refusal {
	if core.Outcome(e.GetOutcome()) == core.Done {
		return nil
	}
	r := &core.Refusal{Code: core.Code(e.GetCode()), Outcome: core.Outcome(e.GetOutcome()), Reason: e.GetReason(), Host: host}
	r.RetryAt = Time(e.GetRetryAt())
	return r
}

// Time converts nanoseconds since the Unix epoch to a time; zero becomes the zero time.
func Time(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/relay"
	"radishwell/wire"
)

// readAll reads frames up to the end frame, and returns the body and the end.
func readAll(t *testing.T, from io.Reader) (string, *wire.End) {
	t.Helper()
	r := relay.NewReader(from)
	var body bytes.Buffer
	var f wire.Frame
	for {
		assert.NilError(t, r.Next(&f))
		switch kind := f.Kind.(type) {
		case *wire.Frame_Data:
			body.Write(kind.Data)
		case *wire.Frame_End:
			return body.String(), kind.End
		}
	}
}

func TestFrames(t *testing.T) {
	rec := httptest.NewRecorder()
	w := relay.NewWriter(rec)
	assert.NilError(t, w.Head(&wire.AnswerHead{Status: 200, Header: []*wire.Field{{Name: "A", Value: "b"}}}))
	assert.NilError(t, w.Data([]byte("one ")))
	assert.NilError(t, w.Data(bytes.Repeat([]byte("x"), 100_000)))
	refusal := core.RefuseUntil(core.CodeLeaving, "the host is leaving", time.Unix(7, 9))
	assert.NilError(t, relay.Finish(w, relay.EndOf(refusal)))
	raw := rec.Body.Bytes()
	body, end := readAll(t, bytes.NewReader(raw))
	assert.Equal(t, len(body), 100_004)
	got := relay.RefusalOf(end, "up-1")
	assert.Equal(t, got.Code, refusal.Code)
	assert.Assert(t, got.RetryAt.Equal(refusal.RetryAt))

	// The connection breaks before the last byte: an incomplete answer must not be taken
	// for a complete one.
	r := relay.NewReader(bytes.NewReader(raw[:len(raw)-1]))
	var f wire.Frame
	var err error
	for err == nil {
		err = r.Next(&f)
	}
	var broken *relay.FrameError
	assert.Assert(t, errors.As(err, &broken))
}

func TestHead(t *testing.T) {
	var buf bytes.Buffer
	assert.NilError(t, relay.WriteHead(&buf, &wire.WorkHead{RequestId: "r-1", BodySize: 4}))
	buf.WriteString("body")
	in := bufio.NewReader(&buf)
	head, err := relay.ReadHead(in)
	assert.NilError(t, err)
	assert.Equal(t, head.GetRequestId(), "r-1")
	rest, err := io.ReadAll(in)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "body")
}

// failingWriter fails after some bytes, like a lost connection.
type failingWriter struct {
	*httptest.ResponseRecorder
	remaining int
}

func (w *failingWriter) Write(p []byte) (int, error) {
	if w.remaining -= len(p); w.remaining < 0 {
		return 0, io.ErrClosedPipe
	}
	return w.ResponseRecorder.Write(p)
}

// TestResumeAtOffset: a connection is lost again and again while an answer grows. Its
// reader resumes each time at the offset that it had reached, and must get every byte
// exactly once.
func TestResumeAtOffset(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	s := relay.NewSpool()
	s.Head(&wire.AnswerHead{Status: 200})
	var sent bytes.Buffer
	go func() {
		for i := range 400 {
			token := "t" + strconv.Itoa(i) + " "
			sent.WriteString(token)
			assert.Check(t, s.Write(context.Background(), []byte(token)) == nil)
		}
		s.End(relay.EndOf(nil))
	}()
	var got bytes.Buffer
	for range 1000 {
		w := &failingWriter{ResponseRecorder: httptest.NewRecorder(), remaining: 20 + rng.IntN(4000)}
		err := relay.Copy(t.Context(), relay.NewWriter(w), s.Next, int64(got.Len()))
		r := relay.NewReader(w.Body)
		var f wire.Frame
		for r.Next(&f) == nil {
			if d, ok := f.Kind.(*wire.Frame_Data); ok {
				got.Write(d.Data)
			}
		}
		if err == nil {
			assert.Equal(t, got.String(), sent.String())
			return
		}
	}
	t.Fatal("the answer never ended")
}

// TestSlowReaderIsBounded: a caller reads slowly while the engine is fast. The writer
// must block once it is a window ahead, so that the buffer stays bounded.
func TestSlowReaderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := relay.NewSpool()
		s.Window = 1000
		ctx, stop := context.WithCancel(t.Context())
		written := 0
		ended := make(chan error, 1)
		go func() {
			for {
				if err := s.Write(ctx, make([]byte, 100)); err != nil {
					ended <- err
					return
				}
				written += 100
			}
		}()
		synctest.Wait()
		assert.Assert(t, written <= 1200, "%d bytes buffered", written)
		before := written
		_, err := s.Next(500)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Assert(t, written > before && written <= 1700, "%d bytes", written)
		_, err = s.Next(10_000)
		var lost *relay.LostError
		assert.Assert(t, errors.As(err, &lost))
		stop()
		assert.Assert(t, <-ended != nil)
	})
}

func FuzzReader(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{4, 0x12, 2, 'a', 'b'})
	f.Add([]byte{2, 0x1a, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := relay.NewReader(bytes.NewReader(raw))
		var frame wire.Frame
		for range len(raw) + 1 {
			if r.Next(&frame) != nil {
				return
			}
		}
		t.Error("more frames than bytes")
	})
}

// discardWriter is an HTTP response that discards its body.
type discardWriter struct{ httptest.ResponseRecorder }

func (*discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (*discardWriter) Flush()                      {}

func BenchmarkTokenOut(b *testing.B) {
	w := relay.NewWriter(&discardWriter{})
	token := bytes.Repeat([]byte("x"), 190)
	b.ReportAllocs()
	for b.Loop() {
		_ = w.Data(token)
		_ = w.Flush()
	}
}

func BenchmarkTokenIn(b *testing.B) {
	rec := httptest.NewRecorder()
	w := relay.NewWriter(rec)
	for range 1000 {
		_ = w.Data(bytes.Repeat([]byte("x"), 190))
	}
	_ = w.Flush()
	src := bytes.NewReader(rec.Body.Bytes())
	r := relay.NewReader(src)
	var f wire.Frame
	b.ReportAllocs()
	for b.Loop() {
		if r.Next(&f) != nil {
			src.Seek(0, io.SeekStart)
		}
	}
}

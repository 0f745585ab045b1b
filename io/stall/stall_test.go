package stall_test

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/stall"
)

const timeout = time.Second

// send writes pieces of one byte, each after a gap. It then closes the pipe if closes is
// set.
func send(w *io.PipeWriter, pieces int, gap time.Duration, closes bool) {
	for range pieces {
		time.Sleep(gap)
		if _, err := w.Write([]byte("x")); err != nil {
			return
		}
	}
	if closes {
		_ = w.Close()
	}
}

func read(t *testing.T, pieces int, gap time.Duration, closes bool) (int, error) {
	t.Helper()
	r, w := io.Pipe()
	c := stall.Start(t.Context(), timeout)
	defer c.Stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		send(w, pieces, gap, closes)
	}()
	go func() {
		<-c.Context.Done() // A connection, too, ends with its context.
		_ = r.CloseWithError(c.Context.Err())
	}()
	data, err := c.ReadAll(r, timeout)
	_ = r.Close()
	<-sent
	return len(data), err
}

func TestAnswers(t *testing.T) {
	var silent *stall.SilenceError
	for _, c := range []struct {
		name     string
		pieces   int
		gap      time.Duration
		closes   bool
		complete bool
	}{
		{"a response that arrives steadily is read", 10, timeout / 2, true, true},
		{"a response that stops is abandoned", 3, timeout / 2, false, false},
		{"a response with a long pause is abandoned", 3, 2 * timeout, true, false},
		{"a response without an end is abandoned", 1000, timeout / 2, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, err := read(t, c.pieces, c.gap, c.closes)
				if c.complete {
					assert.NilError(t, err)
					assert.Equal(t, n, c.pieces)
					return
				}
				assert.Assert(t, err != nil)
				assert.Assert(t, errors.As(err, &silent) || c.pieces > 100, "%v", err)
			})
		})
	}
}

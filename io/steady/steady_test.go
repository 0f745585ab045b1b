package steady_test

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/steady"
)

const pause = time.Second

// send writes pieces with a gap before each, then leaves the pipe open or closes it.
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
	c := steady.Start(t.Context(), pause)
	defer c.Stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		send(w, pieces, gap, closes)
	}()
	go func() {
		<-c.Context.Done() // as a connection ends with its context
		_ = r.CloseWithError(c.Context.Err())
	}()
	data, err := c.ReadAll(r, pause)
	_ = r.Close()
	<-sent
	return len(data), err
}

func TestAnswers(t *testing.T) {
	var silent *steady.SilenceError
	for _, c := range []struct {
		name   string
		pieces int
		gap    time.Duration
		closes bool
		whole  bool
	}{
		{"one that arrives all the time is read", 10, pause / 2, true, true},
		{"one that stops is given up", 3, pause / 2, false, false},
		{"one with a long pause is given up", 3, 2 * pause, true, false},
		{"one without an end is given up", 1000, pause / 2, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, err := read(t, c.pieces, c.gap, c.closes)
				if c.whole {
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

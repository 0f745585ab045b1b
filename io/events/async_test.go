package events_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/io/events"
)

// leftOut matches the number of lines dropped before a line.
var leftOut = regexp.MustCompile(`left-out=(\d+)\n`)

// wantAll fails unless each of the lines written is in the text or counted there as
// dropped. There are several counts if the writer wrote lines between two dropped ones.
func wantAll(t *testing.T, text string, written int) {
	t.Helper()
	lines, left := strings.Count(text, "xxx\n"), 0
	for _, found := range leftOut.FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(found[1])
		assert.NilError(t, err)
		left += n
	}
	assert.Assert(t, lines > 100 && lines < written, "%d lines", lines)
	assert.Equal(t, lines+left, written)
}

// TestStoppedReaderHoldsUpNobody guards against requests that block when the reader of
// the process's output stops reading: once the pipe is full, the next request that logs
// would wait until the reader continues.
func TestStoppedReaderHoldsUpNobody(t *testing.T) {
	const written = 5000
	line := []byte(strings.Repeat("x", 999) + "\n")
	// early is the number of lines written before the writer's goroutine first runs.
	for name, early := range map[string]int{"from the start": 0, "after lines were left out already": 1000} {
		t.Run(name, func(t *testing.T) {
			r, w := io.Pipe()
			o := &events.AsyncWriter{Out: w, DroppedEvent: events.LinesLeftOut}
			write := func(n int) {
				for range n {
					n, err := o.Write(line)
					assert.Assert(t, n == len(line) && err == nil)
				}
			}
			write(early)
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- o.Run(ctx) }()
			write(written - early)
			stop()
			var text []byte
			read := make(chan error, 1)
			go func() {
				var err error
				text, err = io.ReadAll(r)
				read <- err
			}()
			assert.NilError(t, <-ended)
			assert.NilError(t, w.Close())
			assert.NilError(t, <-read)
			wantAll(t, string(text), written)
		})
	}
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	o := &events.AsyncWriter{Out: &out}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	var writers sync.WaitGroup
	for i := range 4 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for j := range 100 {
				_, _ = fmt.Fprintf(o, "%d %03d\n", i, j)
			}
		}()
	}
	writers.Wait()
	stop()
	assert.NilError(t, <-ended)
	last := map[byte]string{}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 400)
	for _, l := range lines {
		assert.Assert(t, len(l) == 5 && l > last[l[0]], l)
		last[l[0]] = l
	}
}

package events_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/io/events"
)

// Whoever reads the process's output stops reading. Its pipe fills up, and the
// next request that logs would wait for as long as nobody reads.
func TestStoppedReaderHoldsUpNobody(t *testing.T) {
	r, w := io.Pipe()
	o := &events.Outlet{Out: w, LeftOut: events.LinesLeftOut}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 5000 {
		n, err := o.Write(line)
		assert.Assert(t, n == len(line) && err == nil)
	}
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
	lines := strings.Count(string(text), "xxx\n")
	assert.Assert(t, lines > 100 && lines < 5000)
	assert.Assert(t, strings.Contains(string(text), fmt.Sprintf("left-out=%d\n", 5000-lines)))
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	o := &events.Outlet{Out: &out}
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

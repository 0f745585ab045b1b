package deploy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/proxy"
)

// An entry starts on a busy machine. Its planner asks for the links while their own
// goroutine begins to run, which then made the map that the planner read; the race
// detector ended one start in some dozens so.
func TestLinksAreThereBeforeTheyRun(t *testing.T) {
	e := &entry{Process: &Process{clock: Clock{start: time.Now()}}, proxy: &proxy.Proxy{Clock: Clock{start: time.Now()}}}
	e.proxy.Start()
	e.buildLinks()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.links.run(ctx) }()
	for range 100 {
		assert.Equal(t, len(e.links.list(e.clock.Now())), 0)
	}
	stop()
	assert.NilError(t, <-ended)
}

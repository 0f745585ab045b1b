package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/loop"
)

type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

func TestPokesAreTakenTogether(t *testing.T) {
	alarm := make(chan struct{}, 1)
	loop.Poke(alarm)
	loop.Poke(alarm)
	assert.Equal(t, len(alarm), 1)
}

func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		alarm := make(chan struct{}, 1)
		began := time.Now()
		// At once; after the longest wait; at the time returned; when poked.
		next := []time.Time{{}, began.Add(1200 * time.Millisecond), {}, {}}
		var calls []time.Duration
		ended := make(chan error, 1)
		go func() {
			ended <- loop.Run(ctx, bubbleClock{}, alarm, time.Second, func(now time.Time) time.Time {
				calls = append(calls, now.Sub(began))
				return next[len(calls)-1]
			})
		}()
		time.Sleep(1300 * time.Millisecond)
		loop.Poke(alarm)
		synctest.Wait()
		stop()
		assert.NilError(t, <-ended)
		assert.DeepEqual(t, calls, []time.Duration{0, time.Second, 1200 * time.Millisecond, 1300 * time.Millisecond})
	})
}

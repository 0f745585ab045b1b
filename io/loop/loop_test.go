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

func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		alarm := make(chan struct{}, 1)
		var calls []time.Duration
		began := time.Now()
		next := time.Time{}
		ended := make(chan error, 1)
		go func() {
			ended <- loop.Run(ctx, bubbleClock{}, alarm, time.Second, func(now time.Time) time.Time {
				calls = append(calls, now.Sub(began))
				return next
			})
		}()
		synctest.Wait()
		next = began.Add(1200 * time.Millisecond)
		time.Sleep(1100 * time.Millisecond) // at once, then after the longest wait
		synctest.Wait()
		next = time.Time{}
		time.Sleep(200 * time.Millisecond) // at the time returned
		synctest.Wait()
		loop.Poke(alarm)
		loop.Poke(alarm) // two wakes are taken together
		synctest.Wait()
		stop()
		assert.NilError(t, <-ended)
		assert.DeepEqual(t, calls, []time.Duration{0, time.Second, 1200 * time.Millisecond, 1300 * time.Millisecond})
	})
}

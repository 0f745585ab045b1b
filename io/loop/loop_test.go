package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/loop"
)

type fakeClock struct{}

func (fakeClock) Now() time.Time { return time.Now() }

func TestWakesAreCombined(t *testing.T) {
	wake := make(chan struct{}, 1)
	loop.Wake(wake)
	loop.Wake(wake)
	assert.Equal(t, len(wake), 1)
}

func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		wake := make(chan struct{}, 1)
		start := time.Now()
		// The calls come at once, after the longest interval, at the returned time, and when
		// woken.
		next := []time.Time{{}, start.Add(1200 * time.Millisecond), {}, {}}
		var calls []time.Duration
		ended := make(chan error, 1)
		go func() {
			ended <- loop.Run(ctx, fakeClock{}, wake, time.Second, func(now time.Time) time.Time {
				calls = append(calls, now.Sub(start))
				return next[len(calls)-1]
			})
		}()
		time.Sleep(1300 * time.Millisecond)
		loop.Wake(wake)
		synctest.Wait()
		stop()
		assert.NilError(t, <-ended)
		assert.DeepEqual(t, calls, []time.Duration{0, time.Second, 1200 * time.Millisecond, 1300 * time.Millisecond})
	})
}

func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		wake := make(chan struct{}, 1)
		check := func(wantWoken, wantRunning bool, wantTime time.Duration) {
			t.Helper()
			start := time.Now()
			woken, running := loop.Wait(ctx, wake, time.Second)
			assert.Equal(t, woken, wantWoken)
			assert.Equal(t, running, wantRunning)
			assert.Equal(t, time.Since(start), wantTime)
		}
		check(false, true, time.Second)
		loop.Wake(wake)
		check(true, true, 0)
		stop()
		check(false, false, 0)
	})
}

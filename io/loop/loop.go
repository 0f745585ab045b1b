// Package loop runs the state machines of core in a goroutine: it calls a machine at the
// time that the machine has asked for, or when it is woken.
package loop

import (
	"context"
	"time"

	"radishwell/core"
)

// minInterval is the least time between two steps that are not woken. It keeps a step
// whose next time has passed from running in a busy loop.
const minInterval = time.Millisecond

// Wake wakes a loop without blocking. The channel must have a capacity of one, so that
// wakes during a step are combined.
func Wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Sleep waits for d or the end of the context. It reports whether the context is still
// running.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Wait waits until wake receives, which it reports as woken, for d at most, or until the end of the context. It
// reports whether the context is still running.
func Wait(ctx context.Context, wake <-chan struct{}, d time.Duration) (woken, running bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-wake:
		return true, true
	case <-timer.C:
		return false, true
	}
}

// Run calls step until the context ends: at the time that the last call returned, when
// wake receives, and at least once per maxInterval. The zero time means that the step has
// no next time. Run returns nil.
func Run(ctx context.Context, clock core.Clock, wake <-chan struct{}, maxInterval time.Duration, step func(now time.Time) time.Time) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-wake:
		case <-ctx.Done():
			return nil
		}
		now := clock.Now()
		interval := maxInterval
		if next := step(now); !next.IsZero() {
			interval = min(maxInterval, max(minInterval, next.Sub(now)))
		}
		timer.Reset(interval)
	}
}

// Package loop is the goroutine round a state machine of core: it calls the
// machine when its next time has come or when somebody wakes it.
package loop

import (
	"context"
	"time"

	"radishwell/core"
)

// shortest keeps a step whose time has just passed from being called without a
// pause.
const shortest = time.Millisecond

// Poke wakes a loop. The channel has a capacity of one, so that wakes that come
// while the loop is busy are taken together.
func Poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Sleep waits for a time or the context's end, and tells whether the context is
// still running.
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

// Run calls step until the context ends: at the time that the last call
// returned, when alarm fires, and at least once in longest. The zero time is "no
// time of its own".
func Run(ctx context.Context, clock core.Clock, alarm <-chan struct{}, longest time.Duration, step func(now time.Time) time.Time) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-alarm:
		case <-ctx.Done():
			return nil
		}
		now := clock.Now()
		wait := longest
		if next := step(now); !next.IsZero() {
			wait = min(longest, max(shortest, next.Sub(now)))
		}
		timer.Reset(wait)
	}
}

package deploy

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"radishwell/io/loop"
)

// clockInterval is the interval at which a Clock looks for time in which the machine was suspended.
const clockInterval = 100 * time.Millisecond

// Clock is a clock that starts at the wall-clock time of the process start. It does not follow later
// steps of the wall clock, which would shorten or extend all timeouts, and it counts the time in which
// the machine was suspended, which the monotonic clock leaves out: what others promised for a time ends
// meanwhile.
type Clock struct {
	start time.Time
	// before is the time of suspension before the start, as the kernel states it.
	before time.Duration
	// suspended is the time of suspension since the start, in nanoseconds.
	suspended *atomic.Int64
}

func newClock() Clock {
	return Clock{start: time.Now(), before: suspension(), suspended: &atomic.Int64{}}
}

// Now implements core.Clock.
func (c Clock) Now() time.Time {
	return c.start.Add(time.Since(c.start) + time.Duration(c.suspended.Load()))
}

// run follows suspensions until the context ends.
func (c Clock) run(ctx context.Context) error {
	for loop.Sleep(ctx, clockInterval) {
		c.update(suspension() - c.before)
	}
	return nil
}

// update takes the time of suspension since the start. It does not go back.
func (c Clock) update(suspended time.Duration) {
	if int64(suspended) > c.suspended.Load()+int64(clockInterval) {
		c.suspended.Store(int64(suspended))
	}
}

// suspension returns how long the machine has been suspended since it was started, zero if the kernel
// does not state it.
func suspension() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

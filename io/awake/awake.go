package awake

import (
	"context"
	"sync"
	"time"
)

const (
	// steps is the number of steps in which a limit passes.
	steps = 10
	// lateFactor is the multiple of a step after which the process was not awake: the step
	// does not count.
	lateFactor = 2
)

// TimeoutError reports a call that took longer than its limit while this process ran.
type TimeoutError struct{}

// Error implements error.
func (*TimeoutError) Error() string { return "the time limit has passed" }

// Timeout implements net.Error.
func (*TimeoutError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*TimeoutError) Temporary() bool { return true }

// WithTimeout returns a context that ends when its parent does, and once this process has run
// for d since. Its cause is then a TimeoutError. The caller calls stop when the call has ended.
func WithTimeout(parent context.Context, d time.Duration) (ctx context.Context, stop context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	l := &limit{step: d / steps, left: steps, last: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.step, func() {
		if l.pass(time.Now()) {
			cancel(&TimeoutError{})
		}
	})
	return ctx, func() {
		l.timer.Stop()
		cancel(nil)
	}
}

// limit counts the steps of a time limit that are left.
type limit struct {
	step time.Duration

	mu    sync.Mutex
	left  int
	last  time.Time
	timer *time.Timer
}

// pass counts the step that ends now, and reports whether the limit has passed.
func (l *limit) pass(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) <= lateFactor*l.step {
		l.left--
	}
	l.last = now
	if l.left <= 0 {
		return true
	}
	l.timer.Reset(l.step)
	return false
}

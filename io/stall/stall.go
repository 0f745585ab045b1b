package stall

import (
	"context"
	"errors"
	"io"
	"time"
)

// maxDuration bounds the time for reading a response, on top of the time until it begins.
const maxDuration = 15 * time.Second

// SilenceError reports a response that did not begin in time, or during which nothing
// arrived for too long.
type SilenceError struct{}

// Error implements error.
func (*SilenceError) Error() string { return "the other side has gone silent" }

// Call is a call in progress.
type Call struct {
	// Context is the context of the call; it ends when the other side has been silent for
	// too long.
	Context context.Context

	cancel context.CancelCauseFunc
	stop   context.CancelFunc
	timer  *time.Timer
}

// Start begins a call whose response must begin within timeout. The caller must call
// Stop.
func Start(ctx context.Context, timeout time.Duration) *Call {
	c := &Call{}
	ctx, c.stop = context.WithTimeout(ctx, timeout+maxDuration)
	c.Context, c.cancel = context.WithCancelCause(ctx)
	c.timer = time.AfterFunc(timeout, func() { c.cancel(&SilenceError{}) })
	return c
}

// IsSilent reports whether the other side has been silent for too long.
func (c *Call) IsSilent() bool {
	var silent *SilenceError
	return errors.As(context.Cause(c.Context), &silent)
}

// Stop ends the call and releases its resources.
func (c *Call) Stop() {
	c.timer.Stop()
	c.cancel(nil)
	c.stop()
}

// ReadAll reads the response. Its error is a SilenceError if nothing arrives for longer
// than timeout.
func (c *Call) ReadAll(from io.Reader, timeout time.Duration) ([]byte, error) {
	c.timer.Reset(timeout)
	data, err := io.ReadAll(&reader{from: from, timer: c.timer, timeout: timeout})
	if err != nil && context.Cause(c.Context) != nil {
		err = context.Cause(c.Context)
	}
	return data, err
}

// reader restarts a timer on each read that returns data.
type reader struct {
	from    io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.timer.Reset(r.timeout)
	}
	return n, err
}

package steady

import (
	"context"
	"io"
	"time"
)

// mostTime bounds the total duration of an answer.
const mostTime = 15 * time.Second

// SilenceError reports an answer that did not begin, or did not go on, in time.
type SilenceError struct{}

// Error implements error.
func (*SilenceError) Error() string { return "the other side has gone silent" }

// Call is a call that is in progress.
type Call struct {
	// Context is the call's; it ends when the other side has been silent for too long.
	Context context.Context

	giveUp context.CancelCauseFunc
	stop   context.CancelFunc
	timer  *time.Timer
}

// Start begins a call whose answer has to begin within the given time. The caller has to
// call Stop.
func Start(ctx context.Context, within time.Duration) *Call {
	c := &Call{}
	ctx, c.stop = context.WithTimeout(ctx, within+mostTime)
	c.Context, c.giveUp = context.WithCancelCause(ctx)
	c.timer = time.AfterFunc(within, func() { c.giveUp(&SilenceError{}) })
	return c
}

// Stop ends the call.
func (c *Call) Stop() {
	c.timer.Stop()
	c.giveUp(nil)
	c.stop()
}

// ReadAll reads the answer. Its error is a SilenceError if nothing arrives for longer than
// pause.
func (c *Call) ReadAll(from io.Reader, pause time.Duration) ([]byte, error) {
	c.timer.Reset(pause)
	data, err := io.ReadAll(&reader{from: from, timer: c.timer, pause: pause})
	if err != nil && context.Cause(c.Context) != nil {
		err = context.Cause(c.Context)
	}
	return data, err
}

// reader resets a timer on each read that returns data.
type reader struct {
	from  io.Reader
	timer *time.Timer
	pause time.Duration
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.timer.Reset(r.pause)
	}
	return n, err
}

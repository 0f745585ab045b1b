package proxy

import (
	"context"
	"errors"
	"sync/atomic"

	"radishwell/core"
	"radishwell/core/parts"
	"radishwell/io/events"
)

// WithdrawnError reports a request that was withdrawn from its upstream before an answer began, since
// a part of its prompt crashes upstreams.
type WithdrawnError struct{}

// Error implements error.
func (*WithdrawnError) Error() string {
	return "the request was withdrawn, since a part of its prompt crashes upstreams"
}

// isWithdrawn reports whether an attempt was cancelled since its request is withdrawn.
func isWithdrawn(ctx context.Context) bool {
	return errors.As(context.Cause(ctx), new(*WithdrawnError))
}

// sentParts is a request at an upstream whose prompt has parts that other requests may share.
type sentParts struct {
	request core.RequestID
	shared  []parts.Name
	// begun is set once the upstream's answer has begun.
	begun  atomic.Bool
	cancel context.CancelCauseFunc
}

// followParts returns a context for an attempt that is cancelled when the request is to be withdrawn,
// and a function that is called when the attempt has ended. One in a trial of its parts is not
// withdrawn.
func (p *Proxy) followParts(ctx context.Context, c *call) (context.Context, func()) {
	if len(c.shared) == 0 || len(c.run.parts) > 0 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &sentParts{request: c.ask.ID, shared: c.shared, cancel: cancel}
	untrack := track(p, p.sentParts, s)
	c.sentParts = s
	return ctx, func() {
		untrack()
		c.sentParts = nil
		cancel(nil)
	}
}

// noteAnswerBegun records that the answer to the request has begun.
func (c *call) noteAnswerBegun() {
	if c.run.unbegun != nil {
		c.run.unbegun.Stop()
	}
	if c.sentParts != nil {
		c.sentParts.begun.Store(true)
	}
}

// withdrawParts withdraws the requests that have not begun and have parts that crash upstreams. They
// may wait in queues for longer than it takes to know the parts. The caller holds mu.
func (p *Proxy) withdrawParts() {
	now := p.Clock.Now()
	if !p.parts.Refuses(now) {
		return
	}
	for s := range p.sentParts {
		if s.begun.Load() {
			continue
		}
		if verdict := p.parts.Check(now, s.shared); verdict.Withdraw {
			delete(p.sentParts, s)
			events.Log(events.RequestWithdrawn, "request", s.request, "parts", verdict.Parts, "crashes", verdict.Crashes, "proven", verdict.Proven)
			s.cancel(&WithdrawnError{})
		}
	}
}

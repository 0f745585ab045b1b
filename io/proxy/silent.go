package proxy

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/io/loop"
)

const (
	// silenceTimeout is how long a stream may be silent before it is moved to another
	// host, if its host's agent is silent too. It is half of the two seconds after
	// which the least patient callers leave.
	silenceTimeout = time.Second
	// silencePauses bounds that time from below, as a multiple of the longest pause
	// that a route's callers accept.
	silencePauses = 2
	// watchInterval is how often the streams in progress are checked.
	watchInterval = 200 * time.Millisecond
)

// SilentError reports a stream that was silent while its host's agent was silent too.
type SilentError struct{ Host core.HostName }

// Error implements error.
func (e *SilentError) Error() string {
	return "the host " + string(e.Host) + " and its agent are silent"
}

// watchedStream is a stream in progress that may move to another host.
type watchedStream struct {
	host  *fleet.Host
	query fleet.Query
	// origin is that of the stream once it has started.
	origin core.StreamOrigin
	// timeout is how long the stream may be silent.
	timeout       time.Duration
	latencyTarget time.Duration
	// callerLeaves is when the caller leaves if no first event arrives.
	callerLeaves time.Time
	// started is set once an event has been forwarded to the caller.
	started atomic.Bool
	// unnamed is set while the latest event had no id: the stream cannot move then.
	unnamed atomic.Bool
	// lastEvent is when the latest event was forwarded, or the attempt began, in
	// nanoseconds since the Unix epoch.
	lastEvent atomic.Int64
	cancel    context.CancelCauseFunc
}

// watch starts to watch the attempt that begins now, if it is at a stream that may be sent
// to another host. It returns a context that is cancelled when the stream is to move since
// its host is silent, and a function that ends the watch.
//
// A host may freeze or lose power together with its agent. Its connections stay open
// but carry nothing, the registry lists the host for seconds more, and callers leave
// after two; once the host resumes, it continues requests that nobody waits for.
// Silence of the agent alone does not count, since its host's streams continue; nor
// does that of a stream alone, which may wait in the engine's queue.
func (p *Proxy) watch(ctx context.Context, c *call, t *target) (context.Context, func()) {
	if c.route.Kind != rtable.Stream || !c.mayMove() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchedStream{
		host: t.host, query: c.query, origin: t.origin, latencyTarget: c.route.Target, cancel: cancel,
		timeout: max(silenceTimeout, silencePauses*c.route.Pause), callerLeaves: c.callerLeavesAt(),
	}
	w.started.Store(c.started)
	w.query.Tried = append(slices.Clone(c.query.Tried), t.id)
	w.lastEvent.Store(p.Clock.Now().UnixNano())
	p.mu.Lock()
	p.streams[w] = true
	p.mu.Unlock()
	c.watched = w
	return ctx, func() {
		p.mu.Lock()
		delete(p.streams, w)
		p.mu.Unlock()
		c.watched = nil
		cancel(nil)
	}
}

// mayMove reports whether the request may be sent to another host after the attempt
// that begins now.
func (c *call) mayMove() bool { return c.route.Repeats() && c.ran+1 < c.route.MaxHosts }

// Run gives waiting requests their turns, moves streams away from silent hosts and ends callers
// that are too slow, until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.takeTurns(ctx)
	}()
	for loop.Sleep(ctx, watchInterval) {
		p.moveSilent()
		p.endSlowest()
	}
	<-ended
	return nil
}

// canMove reports whether a stream may move to the host next. Before the first event, a
// late answer is better than none. After it, the stream may still continue at its present
// host, so it moves only to a host that is not overloaded.
func (w *watchedStream) canMove(now time.Time, next fleet.Choice) bool {
	switch {
	case next.Host == nil:
		return false
	case !w.started.Load() && now.Add(next.Wait).Before(w.callerLeaves):
		return true
	}
	return !next.Overloaded(w.latencyTarget)
}

// moveSilent cancels the attempts at streams of silent hosts so that the streams continue
// elsewhere. Streams that no other host can take now stay at their hosts.
func (p *Proxy) moveSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.standstill.Run(now)
	for w := range p.streams {
		silent := now.Sub(time.Unix(0, w.lastEvent.Load())) >= w.timeout
		if !silent || w.unnamed.Load() || !w.host.Silent(p.view.ReferenceTime(now)) {
			continue
		}
		if w.started.Load() {
			w.query.Origin = &w.origin
		}
		if !w.canMove(now, p.view.Pick(now, &w.query)) {
			continue
		}
		w.cancel(&SilentError{Host: w.host.ID})
	}
}

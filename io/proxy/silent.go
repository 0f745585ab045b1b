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
	// silentTime is how long a stream may bring nothing before it is taken to another
	// host, if its host's agent is silent too: half of the two seconds after which the
	// least patient callers leave.
	silentTime = time.Second
	// silentPauses is how many of the pauses that callers take well it may bring
	// nothing at the least.
	silentPauses = 2
	// watchEvery is how often the streams in progress are looked at.
	watchEvery = 200 * time.Millisecond
)

// SilentError reports a stream that brought nothing while its host's agent was
// silent too.
type SilentError struct{ Host core.HostName }

// Error implements error.
func (e *SilentError) Error() string {
	return "the host " + string(e.Host) + " and its agent are silent"
}

// watched is a stream in progress that may go on at another host.
type watched struct {
	host  *fleet.Host
	query fleet.Query
	// allowed is how long it may bring nothing.
	allowed time.Duration
	target  time.Duration
	// leaves is when its caller leaves if no first event comes.
	leaves time.Time
	// begun tells that an event has come.
	begun atomic.Bool
	// heard is when it last brought something, in nanoseconds of the Unix epoch.
	heard atomic.Int64
	leave context.CancelCauseFunc
}

// watch has an attempt at a stream that may run again left when its host falls
// silent. The caller ends it with the function returned.
//
// It guards against a host that stands still or loses power together with its agent:
// connections stay open and bring nothing, the registry lists the host for seconds
// more, and callers leave after two; the host then goes on with requests that nobody
// waits for. An agent that is silent alone is no sign, since streams go on; nor is a
// stream alone, which may wait in the engine's queue.
func (p *Proxy) watch(ctx context.Context, c *call, t *target) (context.Context, func()) {
	if c.route.Kind != rtable.Stream || !c.mayGoOn() {
		return ctx, func() {}
	}
	ctx, leave := context.WithCancelCause(ctx)
	w := &watched{
		host: t.host, query: c.query, target: c.route.Target, leave: leave,
		allowed: max(silentTime, silentPauses*c.route.Pause), leaves: c.leavesAt(),
	}
	w.begun.Store(c.begun)
	w.query.Tried = append(slices.Clone(c.query.Tried), t.id)
	w.heard.Store(p.Clock.Now().UnixNano())
	p.mu.Lock()
	p.streams[w] = true
	p.mu.Unlock()
	c.watched = w
	return ctx, func() {
		p.mu.Lock()
		delete(p.streams, w)
		p.mu.Unlock()
		c.watched = nil
		leave(nil)
	}
}

// mayGoOn tells whether the request may be sent to one host more after the attempt
// that begins now.
func (c *call) mayGoOn() bool { return c.route.Repeats() && c.ran+1 < c.route.MaxHosts }

// Run looks after the streams in progress until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	for loop.Sleep(ctx, watchEvery) {
		p.leaveSilent()
	}
	return nil
}

// takes tells whether another host can take the stream. One without an event is better
// late than not answered at all; one whose caller has events may go on where it is.
func (w *watched) takes(now time.Time, next fleet.Choice) bool {
	switch {
	case next.Host == nil:
		return false
	case !w.begun.Load() && now.Add(next.Wait).Before(w.leaves):
		return true
	}
	return !next.Overloaded(w.target)
}

// leaveSilent has streams of silent hosts go on elsewhere. Those that no other host
// can take now stay where they are.
func (p *Proxy) leaveSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for w := range p.streams {
		silent := now.Sub(time.Unix(0, w.heard.Load())) >= w.allowed
		if !silent || !w.host.Silent(p.view.ReferenceTime(now)) {
			continue
		}
		if !w.takes(now, p.view.Pick(now, &w.query)) {
			continue
		}
		w.leave(&SilentError{Host: w.host.ID})
	}
}

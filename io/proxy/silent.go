package proxy

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/rtable"
	"radishwell/io/awake"
	"radishwell/io/events"
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
	// reportTimeout bounds the probe of a host. Hosts report within
	// milliseconds, and the callers of its streams wait meanwhile.
	reportTimeout = 250 * time.Millisecond
	// provenTimeout bounds the probe of a host for which nobody waits, and whose response shows that it has run.
	provenTimeout = 3 * time.Second
)

// SilentError reports a stream that was silent while its host and the host's agent did not
// respond.
type SilentError struct{ Host core.HostName }

// Error implements error.
func (e *SilentError) Error() string {
	return "the host " + string(e.Host) + " and its agent are silent"
}

// watchedStream is a stream in progress that may move to another host.
type watchedStream struct {
	host *fleet.Host
	// incarnation and address are those that the attempt is sent to.
	incarnation fleet.Incarnation
	address     netip.AddrPort
	query       fleet.Query
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
// does that of a stream alone, which may wait in the engine's queue. If both are silent, the
// agent alone may have ended, so the host itself is asked. It is asked as well if it has sent
// nothing on any connection: its agent is reached another way, which may work while its own is broken.
func (p *Proxy) watch(ctx context.Context, c *call, t *target) (context.Context, func()) {
	if c.route.Kind != rtable.Stream || !c.mayMove() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchedStream{
		host: t.host, incarnation: t.incarnation(), address: t.address, query: c.query, origin: t.origin, latencyTarget: c.route.Target, cancel: cancel,
		timeout: max(silenceTimeout, silencePauses*c.route.Pause), callerLeaves: c.callerLeavesAt(),
	}
	w.started.Store(c.started)
	w.query.Tried = append(slices.Clone(c.query.Tried), t.id)
	w.lastEvent.Store(p.Clock.Now().UnixNano())
	untrack := track(p, p.streams, w)
	c.watched = w
	return ctx, func() {
		untrack()
		c.watched = nil
		cancel(nil)
	}
}

// track adds an attempt to a set of those in progress, until the returned function is called.
func track[T any](p *Proxy, set map[*T]bool, attempt *T) (untrack func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set[attempt] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(set, attempt)
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
	p.watchStreams(ctx)
	<-ended
	return nil
}

// probe asks a host whether it runs.
type probe struct {
	host        *fleet.Host
	incarnation fleet.Incarnation
	address     netip.AddrPort
	// avoid is set if the host is to be avoided unless it responds: requests wait there, or have been moved.
	avoid bool
	// proves is set if any response serves, as a proof that the host has run.
	proves bool
	result fleet.ProbeResult
}

// watchStreams moves streams away from silent hosts and ends callers that are too slow, until the
// context ends.
func (p *Proxy) watchStreams(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	results := make(chan probe)
	running := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-results:
			running--
			p.endProbe(r)
		case <-ticker.C:
			p.endSlowest()
			p.mu.Lock()
			p.withdrawParts()
			p.mu.Unlock()
		}
		for _, r := range slices.Concat(p.moveSilent(), p.probeUnread(), p.probeSuspects(), p.probeGates()) {
			running++
			go func() {
				r.result = p.probe(ctx, r)
				results <- r
			}()
		}
	}
	for range running {
		<-results
	}
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

// moves counts the streams of each service that may be moved at once.
type moves map[core.ServiceName]int

// take reports whether one more stream may be moved, and counts it. The caller holds the proxy's mu.
func (m moves) take(p *Proxy, now time.Time, s core.ServiceName) bool {
	if _, ok := m[s]; !ok {
		m[s] = p.retriesLeft(now, s)
	}
	m[s]--
	return m[s] >= 0
}

// moveSilent cancels the attempts at streams of silent hosts so that the streams continue
// elsewhere. Streams that no other host can take now, or for which the retry budget has no further
// send, stay at their hosts: these may yet go on. It returns the
// probes to make first.
func (p *Proxy) moveSilent() (probes []probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	allowed, heard := moves{}, p.heard()
	for w := range p.streams {
		silent := now.Sub(time.Unix(0, w.lastEvent.Load())) >= w.timeout
		agentSilent := w.host.Silent(p.view.ReferenceTime(now))
		if !silent || w.unnamed.Load() || !agentSilent && (p.Managed == nil || now.Sub(heard[w.host]) < w.timeout) {
			continue
		}
		if w.started.Load() {
			w.query.Origin = &w.origin
		}
		if !w.canMove(now, p.view.Pick(now, &w.query)) {
			continue
		}
		switch {
		case p.Managed == nil, w.host.HasEnded(), agentSilent && w.host.IsUnresponsive(now), w.host.CannotBeReached(now):
			if allowed.take(p, now, w.query.Service) {
				w.cancel(&SilentError{Host: w.host.ID})
			}
		case w.host.StartProbe(now):
			probes = append(probes, probe{host: w.host, incarnation: w.incarnation, address: w.address, avoid: true})
		}
	}
	return probes
}

// heard returns when each host with streams last sent something, as far as that is known. The caller holds mu.
func (p *Proxy) heard() map[*fleet.Host]time.Time {
	out := map[*fleet.Host]time.Time{}
	for w := range p.streams {
		at := core.Later(out[w.host], w.host.AnsweredSince())
		if w.started.Load() {
			at = core.Later(at, time.Unix(0, w.lastEvent.Load()))
		}
		out[w.host] = at
	}
	return out
}

// probe asks a host. A process that has frozen still accepts connections, so the host has to report.
func (p *Proxy) probe(ctx context.Context, r probe) fleet.ProbeResult {
	limit := reportTimeout
	if r.proves {
		limit = provenTimeout
	}
	ctx, stop := awake.WithTimeout(ctx, limit)
	defer stop()
	s, err := p.Managed(r.address).State(ctx)
	var fault *core.EngineError
	switch {
	case err == nil && !r.incarnation.Matches(s.ID, s.Born), errors.Is(err, syscall.ECONNREFUSED):
		return fleet.ProbeRefused
	case err == nil, errors.As(err, &fault) && fault.Fault == core.EngineRejected:
		return fleet.ProbeAnswered
	}
	return fleet.ProbeSilent
}

// endProbe records the result of a probe.
func (p *Proxy) endProbe(r probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	r.host.EndProbe(now, r.result)
	switch {
	case r.result != fleet.ProbeSilent:
		delete(p.suspects, r.incarnation)
	case r.avoid:
		r.host.NoteUnresponsive(now)
		p.suspects[r.incarnation] = r
	}
	events.Log(
		events.UpstreamProbed, "host", r.incarnation.ID, "address", r.address, "result", r.result,
		"report-age", now.Sub(r.host.Report.Taken).Round(time.Millisecond),
	)
}

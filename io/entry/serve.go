package entry

import (
	"context"
	"errors"
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
	"radishwell/core/retry"
	"radishwell/core/route"
	"radishwell/io/events"
	"radishwell/io/front"
	"radishwell/io/meter"
	"radishwell/io/relay"
	"radishwell/io/spans"
	"radishwell/wire"
)

// job is one request on its way through an entry.
type job struct {
	e    *Entry
	call *front.Call
	span spans.Span
	// handed counts the hand-overs.
	handed uint64
	// first is when the answer's first byte came, cold that it waited for a load.
	first time.Time
	cold  bool
	// waited tells that the request waited for something other than its turn.
	waited bool
}

// Serve answers a call; it implements front.Front's Serve.
func (e *Entry) Serve(ctx context.Context, c *front.Call) {
	j := &job{e: e, call: c, span: e.Tracer.Request(c.Trace, c.Request, c.Request.Arrived)}
	ctx, stop := context.WithDeadline(ctx, c.Request.Deadline)
	defer stop()
	refusal := e.await(ctx, c)
	if refusal == nil {
		j.span.Hop(meter.EntryQueue, c.Request.Arrived, e.Clock.Now())
		refusal = j.run(ctx)
		// Neither a load nor a wait for a host tells how fast the target works: an
		// agent's restart of three seconds would have the next callers refused for
		// a wait that they do not have.
		e.release(c, refusal, j.cold || j.waited)
	}
	j.close(refusal)
}

func (j *job) run(ctx context.Context) *core.Refusal {
	if j.call.Request.Key != "" && !j.call.Request.Repeatable {
		return j.runKeyed(ctx)
	}
	return j.runAttempts(ctx)
}

// close ends the answer and records the outcome.
func (j *job) close(refusal *core.Refusal) {
	now := j.e.Clock.Now()
	j.e.trail(j.call.Request.ID, now, "ended: "+ending(refusal))
	j.e.Meter.Request(j.call.Request.Class, refusal, j.call.Request.Arrived, j.first, now, j.cold)
	j.span.End(refusal, now)
	if refusal == nil {
		j.call.Answer.Done()
		return
	}
	event := events.RequestRefused
	if refusal.Outcome == core.MayHaveRun {
		event = events.RequestMayHaveRun
	}
	events.Log(event, "request", j.call.Request.ID, "code", refusal.Code, "reason", refusal.Reason, "host", refusal.Host)
	j.call.Answer.Fail(refusal)
}

func ending(r *core.Refusal) string {
	if r == nil {
		return core.Done.String()
	}
	return r.Error()
}

// runAttempts tries hosts until one answers or core/retry gives up.
func (j *job) runAttempts(ctx context.Context) *core.Refusal {
	c := retry.Case{Request: j.call.Request}
	var tried []core.HostName
	j.e.firstAttempt(j.call.Request.Target.Service)
	for {
		choices, hosts := j.e.plan(ctx, j.call.Request, tried)
		refusal := noHost(j.e.Clock.Now(), j.call.Request.Target)
		if len(choices) > 0 {
			host := hosts[choices[0].Host]
			tried = append(tried, host.Name)
			refusal = j.attempt(ctx, host, choices[0])
			refusal = withHost(refusal, host.Name)
		}
		if refusal == nil {
			return nil
		}
		if ctx.Err() != nil {
			return j.over(ctx, c.Attempts, refusal)
		}
		c.Attempts = append(c.Attempts, retry.Attempt{Host: refusal.Host, Refusal: refusal})
		c.AnswerBegun = j.call.Answer.Begun()
		c.HostsLeft = max(0, len(choices)-1)
		d := j.e.decide(c)
		j.e.trail(j.call.Request.ID, j.e.Clock.Now(), "attempt at "+string(refusal.Host)+": "+refusal.Error()+"; "+d.Why.String())
		switch d.Action {
		case retry.GiveUp:
			return d.Refusal
		case retry.RetryLater:
			tried = nil
			if !j.waitUntil(ctx, d.At) {
				return j.over(ctx, c.Attempts, refusal)
			}
		}
		j.call.Answer.Reset()
	}
}

func withHost(r *core.Refusal, host core.HostName) *core.Refusal {
	if r != nil && r.Host == "" {
		r.Host = host
	}
	return r
}

// over is the end of a request whose caller left or whose deadline passed: not
// run only if no attempt may have.
func (j *job) over(ctx context.Context, before []retry.Attempt, last *core.Refusal) *core.Refusal {
	out := *last
	out.Code, out.Reason = core.CodeCancelled, "the caller went away"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		out.Code, out.Reason = core.CodeDeadline, "the deadline passed"
	}
	for _, a := range before {
		if a.Refusal.Outcome != core.NotRun {
			out.Outcome = core.MayHaveRun
		}
	}
	return &out
}

// waitUntil sleeps for want of a host, a claim or a connection. It is false where
// the request's time or its caller ends the wait.
func (j *job) waitUntil(ctx context.Context, at time.Time) bool {
	j.waited = true
	timer := time.NewTimer(max(0, at.Sub(j.e.Clock.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func noHost(now time.Time, t core.Target) *core.Refusal {
	return core.RefuseUntil(core.CodeNoHost, "no host may serve "+t.Name()+" at present", now.Add(time.Second))
}

// attempt hands the request to one host and relays its answer.
func (j *job) attempt(ctx context.Context, h Host, choice route.Choice) *core.Refusal {
	now := j.e.Clock.Now()
	j.e.trail(j.call.Request.ID, now, "handed to "+string(h.Name)+" ("+choice.Reason.String()+")")
	incarnation := j.e.handing(h, j.call.Request)
	j.handed++
	head := j.head(h, incarnation)
	overdue := j.e.watchOverdue(h, j.call.Request, now)
	defer overdue.Stop()
	refusal, lost := j.relay(ctx, h, head, j.call.Body)
	if lost != nil {
		refusal = j.afterLoss(ctx, h, head, lost)
	}
	j.e.handed(h, j.call.Request, refusal, j.cold, now)
	return refusal
}

// head describes the request to an agent.
func (j *job) head(h Host, incarnation core.Incarnation) *wire.WorkHead {
	r := j.call.Request
	head := &wire.WorkHead{
		RequestId: string(r.ID), Service: string(r.Target.Service), Model: string(r.Target.Model), Base: string(r.Target.Base),
		Owner: string(r.Owner), Caller: string(r.Caller), Class: uint32(r.Class),
		Arrived: r.Arrived.UnixNano(), Deadline: r.Deadline.UnixNano(), Repeatable: r.Repeatable, Key: r.Key,
		Fingerprint: uint64(r.Fingerprint), Tokens: int64(r.Tokens), Stream: r.Stream,
		Method: j.call.Method, Path: j.call.Path, Trace: j.span.Traceparent(), BodySize: int64(len(j.call.Body)),
		Incarnation: uint64(incarnation), Entry: string(j.e.Name), Prefixes: r.Prefixes, HandOver: j.handed,
	}
	head.Strikes, head.Trial = j.e.strikesAgainst(r.Fingerprint)
	for name, values := range j.call.Header {
		for _, v := range values {
			head.Header = append(head.Header, &wire.Field{Name: name, Value: v})
		}
	}
	return head
}

// relay hands over and reads the answer on one connection. The second result is
// set where contact was lost before the answer's end.
func (j *job) relay(ctx context.Context, h Host, head *wire.WorkHead, body []byte) (*core.Refusal, *loss) {
	g := &reading{to: j.call.Answer, clock: j.e.Clock}
	return j.read(ctx, h, head, body, g)
}

// loss is an answer whose connection broke.
type loss struct {
	g     *reading
	sent  bool
	cause error
}

func (j *job) read(ctx context.Context, h Host, head *wire.WorkHead, body []byte, g *reading) (*core.Refusal, *loss) {
	stream, err := j.e.Relay.open(ctx, h, head, body)
	if err != nil {
		var fault *handOverError
		errors.As(err, &fault)
		return nil, &loss{g: g, sent: fault == nil || fault.sent, cause: err}
	}
	from := g.offset
	err = g.frames(stream)
	stream.Close()
	j.e.Meter.AnswerBytes(int(g.offset - from))
	if g.first.IsZero() {
		g.first = j.e.Clock.Now()
	}
	if err != nil {
		return nil, &loss{g: g, sent: true, cause: err}
	}
	if j.first.IsZero() && g.offset > 0 {
		j.first = g.first
		j.span.Hop(meter.FirstToken, j.call.Request.Arrived, g.first)
		j.span.Hop(meter.Stream, g.first, j.e.Clock.Now())
	}
	j.cold = j.cold || g.end.GetCold()
	j.span.Upstream(h.Name, j.cold)
	j.e.ended(h, g.end)
	return relay.RefusalOf(g.end, h.Name), nil
}

const (
	// resumeFor is how long an entry tries to reach an agent again for the rest
	// of an answer: longer than a dead connection takes to be found at both
	// ends, and shorter than an agent waits for a reader.
	resumeFor   = 3 * time.Second
	resumePause = 100 * time.Millisecond
	sealTime    = 500 * time.Millisecond
)

// afterLoss finds out what became of a request without a key whose connection
// broke. The agent either has it, and the answer is read on at the offset
// reached, or has never seen it and never will run it.
func (j *job) afterLoss(ctx context.Context, h Host, head *wire.WorkHead, l *loss) *core.Refusal {
	if !l.sent {
		return core.RefuseUntil(core.CodeUnreached, "the host cannot be reached", j.e.Clock.Now().Add(time.Second))
	}
	until := j.e.Clock.Now().Add(resumeFor)
	for j.e.Clock.Now().Before(until) {
		if callerGone(ctx, l.cause) {
			j.e.cancelAt(h, j.call.Request.ID)
			return gone(ctx, h.Name)
		}
		refusal, done := j.pickUp(ctx, h, head, l)
		if done {
			return refusal
		}
		if !j.waitUntil(ctx, j.e.Clock.Now().Add(resumePause)) {
			continue
		}
	}
	return &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Reason: "contact with the host was lost", Host: h.Name}
}

// gone is the end of a request whose caller left, or whose deadline passed,
// while a host had it.
func gone(ctx context.Context, host core.HostName) *core.Refusal {
	r := &core.Refusal{Code: core.CodeCancelled, Outcome: core.MayHaveRun, Reason: "the caller went away", Host: host}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Code, r.Reason = core.CodeDeadline, "the deadline passed"
	}
	return r
}

// pickUp asks the agent what became of the request and reads on if it has it.
// The second result is false where the agent could not be reached.
func (j *job) pickUp(ctx context.Context, h Host, head *wire.WorkHead, l *loss) (*core.Refusal, bool) {
	call, stop := context.WithTimeout(ctx, sealTime)
	reply, err := j.e.Seal(call, h, &wire.SealCall{
		Key: head.GetRequestId(), Incarnation: head.GetIncarnation(), Expires: head.GetDeadline(), Fingerprint: head.GetFingerprint(),
		HandOver: head.GetHandOver(),
	})
	stop()
	if err != nil {
		return nil, false
	}
	switch dedupe.State(reply.GetState()) {
	case dedupe.Sealed:
		return core.RefuseUntil(core.CodeUpstreamLost, "the request did not reach the host", j.e.Clock.Now()), true
	case dedupe.Lost:
		return &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Reason: "the host has restarted", Host: h.Name}, true
	}
	refusal, again := j.resume(ctx, h, head, l.g)
	if again != nil {
		l.cause = again.cause
		return nil, false
	}
	return refusal, true
}

// resume reads the rest of an answer on a new connection.
func (j *job) resume(ctx context.Context, h Host, head *wire.WorkHead, g *reading) (*core.Refusal, *loss) {
	events.Log(events.StreamResumed, "request", j.call.Request.ID, "host", h.Name, "offset", g.offset)
	again := attachHead(head, g.offset)
	return j.read(ctx, h, again, nil, g)
}

// attachHead asks for the rest of an answer.
func attachHead(head *wire.WorkHead, offset int64) *wire.WorkHead {
	return &wire.WorkHead{
		RequestId: head.GetRequestId(), Owner: head.GetOwner(), Key: head.GetKey(), Attempt: head.GetAttempt(),
		Incarnation: head.GetIncarnation(), Fingerprint: head.GetFingerprint(), ClaimExpires: head.GetClaimExpires(),
		Deadline: head.GetDeadline(), Offset: offset, Attach: true, Entry: head.GetEntry(), HandOver: head.GetHandOver(),
	}
}

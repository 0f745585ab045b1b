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

// job is one request in progress at an entry.
type job struct {
	e    *Entry
	call *front.Call
	span spans.Span
	// handOvers counts the hand-overs: the times that the request was sent to a host.
	handOvers uint64
	// firstByte is when the answer's first byte arrived. cold is set if the answer
	// waited for a load.
	firstByte time.Time
	cold      bool
	// waited is set if the request waited for anything but its turn in the queue.
	waited bool
}

// Serve answers a call; it is the Serve function of front.Handler.
func (e *Entry) Serve(ctx context.Context, c *front.Call) {
	j := &job{e: e, call: c, span: e.Tracer.Request(c.Trace, c.Request, c.Request.Arrived)}
	ctx, stop := context.WithDeadline(ctx, c.Request.Deadline)
	defer stop()
	refusal := e.awaitTurn(ctx, c)
	if refusal == nil {
		j.span.Hop(meter.EntryQueue, c.Request.Arrived, e.Clock.Now())
		refusal = j.run(ctx)
		// Neither a load nor a wait for a host shows how fast the target works. If they
		// counted, an agent's restart of three seconds would have later callers refused
		// for a wait that no longer exists.
		e.release(c, refusal, j.cold || j.waited)
	}
	j.finish(refusal)
}

func (j *job) run(ctx context.Context) *core.Refusal {
	if j.call.Request.Key != "" && !j.call.Request.Repeatable {
		return j.runKeyed(ctx)
	}
	return j.runAttempts(ctx)
}

// finish ends the answer and records the outcome.
func (j *job) finish(refusal *core.Refusal) {
	now := j.e.Clock.Now()
	j.e.recordStep(j.call.Request.ID, now, "ended: "+outcomeText(refusal))
	j.e.Meter.Request(j.call.Request.Class, refusal, j.call.Request.Arrived, j.firstByte, now, j.cold)
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

func outcomeText(r *core.Refusal) string {
	if r == nil {
		return core.Done.String()
	}
	return r.Error()
}

// runAttempts tries hosts until one answers or core/retry gives up.
func (j *job) runAttempts(ctx context.Context) *core.Refusal {
	c := retry.Case{Request: j.call.Request}
	var tried []core.HostName
	j.e.recordFirstAttempt(j.call.Request.Target.Service)
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
			return j.expired(ctx, c.Attempts, refusal)
		}
		c.Attempts = append(c.Attempts, retry.Attempt{Host: refusal.Host, Refusal: refusal})
		c.AnswerBegun = j.call.Answer.Begun()
		c.HostsLeft = max(0, len(choices)-1)
		d := j.e.decideRetry(c)
		j.e.recordStep(j.call.Request.ID, j.e.Clock.Now(), "attempt at "+string(refusal.Host)+": "+refusal.Error()+"; "+d.Why.String())
		switch d.Action {
		case retry.GiveUp:
			return d.Refusal
		case retry.RetryLater:
			tried = nil
			if !j.waitUntil(ctx, d.At) {
				return j.expired(ctx, c.Attempts, refusal)
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

// expired returns the refusal of a request whose caller left or whose deadline passed.
// Its outcome is that of the last attempt, unless an earlier one may have run.
func (j *job) expired(ctx context.Context, before []retry.Attempt, last *core.Refusal) *core.Refusal {
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

// waitUntil waits for a host, a claim or a connection. It returns false if the deadline
// passes or the caller leaves first.
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

// attempt sends the request to one host and relays its answer.
func (j *job) attempt(ctx context.Context, h Host, choice route.Choice) *core.Refusal {
	now := j.e.Clock.Now()
	j.e.recordStep(j.call.Request.ID, now, "handed to "+string(h.Name)+" ("+choice.Reason.String()+")")
	incarnation := j.e.startAttempt(h, j.call.Request)
	j.handOvers++
	head := j.head(h, incarnation)
	overdue := j.e.watchOverdue(h, j.call.Request, now)
	defer overdue.Stop()
	refusal, lost := j.forward(ctx, h, head, j.call.Body)
	if lost != nil {
		refusal = j.recoverLoss(ctx, h, head, lost)
	}
	j.e.endAttempt(h, j.call.Request, refusal, j.cold, now)
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
		Method: j.call.Method, Path: string(j.call.Target), Trace: j.span.Traceparent(), BodySize: int64(len(j.call.Body)),
		Incarnation: uint64(incarnation), Entry: string(j.e.Name), Prefixes: r.Prefixes, HandOver: j.handOvers,
	}
	head.Strikes, head.Trial = j.e.strikesAgainst(r.Fingerprint)
	for name, values := range j.call.Header {
		for _, v := range values {
			head.Header = append(head.Header, &wire.Field{Name: name, Value: v})
		}
	}
	return head
}

// forward sends the request and reads the answer on one connection. The second result is
// set if contact was lost before the answer's end.
func (j *job) forward(ctx context.Context, h Host, head *wire.WorkHead, body []byte) (*core.Refusal, *loss) {
	g := &reading{to: j.call.Answer, clock: j.e.Clock}
	return j.readAnswer(ctx, h, head, body, g)
}

// loss describes an answer whose connection broke.
type loss struct {
	reading *reading
	sent    bool
	cause   error
}

func (j *job) readAnswer(ctx context.Context, h Host, head *wire.WorkHead, body []byte, g *reading) (*core.Refusal, *loss) {
	stream, err := j.e.Relay.open(ctx, h, head, body)
	if err != nil {
		var fault *handOverError
		errors.As(err, &fault)
		return nil, &loss{reading: g, sent: fault == nil || fault.sent, cause: err}
	}
	from := g.offset
	err = g.copyFrames(stream)
	stream.Close()
	j.e.Meter.AnswerBytes(int(g.offset - from))
	if g.firstByte.IsZero() {
		g.firstByte = j.e.Clock.Now()
	}
	if err != nil {
		return nil, &loss{reading: g, sent: true, cause: err}
	}
	if j.firstByte.IsZero() && g.offset > 0 {
		j.firstByte = g.firstByte
		j.span.Hop(meter.FirstToken, j.call.Request.Arrived, g.firstByte)
		j.span.Hop(meter.Stream, g.firstByte, j.e.Clock.Now())
	}
	j.cold = j.cold || g.end.GetCold()
	j.span.Upstream(h.Name, j.cold)
	j.e.applyEnd(h, g.end)
	return relay.RefusalOf(g.end, h.Name), nil
}

const (
	// resumeTimeout is how long an entry tries to reach an agent again for the rest of
	// an answer: longer than both ends take to find a dead connection, and shorter than
	// an agent waits for a reader.
	resumeTimeout  = 3 * time.Second
	resumeInterval = 100 * time.Millisecond
	sealTimeout    = 500 * time.Millisecond
)

// recoverLoss finds out what became of a request without a key whose connection broke.
// Either the agent has the request, and the answer is read on from the offset reached,
// or the agent has never received it and will never run it.
func (j *job) recoverLoss(ctx context.Context, h Host, head *wire.WorkHead, l *loss) *core.Refusal {
	if !l.sent {
		return core.RefuseUntil(core.CodeUnreached, "the host cannot be reached", j.e.Clock.Now().Add(time.Second))
	}
	until := j.e.Clock.Now().Add(resumeTimeout)
	for j.e.Clock.Now().Before(until) {
		if callerGone(ctx, l.cause) {
			j.e.cancelAt(h, j.call.Request.ID)
			return interrupted(ctx, h.Name)
		}
		refusal, done := j.recoverAnswer(ctx, h, head, l)
		if done {
			return refusal
		}
		if !j.waitUntil(ctx, j.e.Clock.Now().Add(resumeInterval)) {
			continue
		}
	}
	return &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun, Reason: "contact with the host was lost", Host: h.Name}
}

// interrupted returns the refusal of a request whose caller left, or whose deadline
// passed, while a host had it.
func interrupted(ctx context.Context, host core.HostName) *core.Refusal {
	r := &core.Refusal{Code: core.CodeCancelled, Outcome: core.MayHaveRun, Reason: "the caller went away", Host: host}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Code, r.Reason = core.CodeDeadline, "the deadline passed"
	}
	return r
}

// recoverAnswer asks the agent what became of the request, and reads on if the agent
// has it. The second result is false if the agent could not be reached.
func (j *job) recoverAnswer(ctx context.Context, h Host, head *wire.WorkHead, l *loss) (*core.Refusal, bool) {
	call, stop := context.WithTimeout(ctx, sealTimeout)
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
	refusal, newLoss := j.resume(ctx, h, head, l.reading)
	if newLoss != nil {
		l.cause = newLoss.cause
		return nil, false
	}
	return refusal, true
}

// resume reads the rest of an answer on a new connection.
func (j *job) resume(ctx context.Context, h Host, head *wire.WorkHead, g *reading) (*core.Refusal, *loss) {
	events.Log(events.StreamResumed, "request", j.call.Request.ID, "host", h.Name, "offset", g.offset)
	again := attachHead(head, g.offset)
	return j.readAnswer(ctx, h, again, nil, g)
}

// attachHead returns a head that asks for the rest of an answer.
func attachHead(head *wire.WorkHead, offset int64) *wire.WorkHead {
	return &wire.WorkHead{
		RequestId: head.GetRequestId(), Owner: head.GetOwner(), Key: head.GetKey(), Attempt: head.GetAttempt(),
		Incarnation: head.GetIncarnation(), Fingerprint: head.GetFingerprint(), ClaimExpires: head.GetClaimExpires(),
		Deadline: head.GetDeadline(), Offset: offset, Attach: true, Entry: head.GetEntry(), HandOver: head.GetHandOver(),
	}
}

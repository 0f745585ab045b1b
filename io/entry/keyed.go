package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"radishwell/core"
	"radishwell/core/claims"
	"radishwell/core/dedupe"
	"radishwell/core/retry"
	"radishwell/io/events"
	"radishwell/io/meter"
	"radishwell/wire"
)

const (
	// claimTimeout is how long an entry waits for a claim to be recorded: the time of
	// ten group commits, or of a retry after a lost response.
	claimTimeout = 2 * time.Second
	// claimRetryTime is how long an entry retries while a claim is not recorded: longer
	// than it takes to replace the entry that leads a journal at a planned stop, and
	// short enough that callers learn of a platform outage in time to act.
	claimRetryTime  = 3 * time.Second
	claimRetryPause = 100 * time.Millisecond
)

// runKeyed runs a request that may not be repeated under its idempotency key. The caller
// may send the request several times, also to different entries; each sending makes a claim
// of its own, and one of them is recorded. core/claims decides each step; see
// docs/design/at-most-once.md.
func (j *job) runKeyed(ctx context.Context) *core.Refusal {
	r := j.call.Request
	call := claims.Call{
		ID: dedupe.KeyOf(r.Owner, r.Key), Fingerprint: r.Fingerprint,
		Claimant: j.e.random((*rand.Rand).Uint64), Deadline: r.Deadline, Expires: claims.ExpiryOf(r.Deadline, j.e.KeyAge),
	}
	k := keyed{j: j, call: &call}
	step := call.Start(j.e.Clock.Now())
	for {
		switch step.Kind {
		case claims.StepPick:
			step = k.pick(ctx)
		case claims.StepClaim:
			step = k.claim(ctx, step.Claim)
		case claims.StepHandOver:
			step = k.handOver(ctx, step.Claim)
		case claims.StepAsk:
			step = k.askAgent(ctx, step)
		case claims.StepAttach:
			step = k.attach(ctx, step.Claim)
		case claims.StepRefuse:
			return step.Refusal
		default:
			return nil
		}
	}
}

// keyed carries out the steps of one request's claims.Call.
type keyed struct {
	j     *job
	call  *claims.Call
	tried []core.HostName
	// reading is the progress of the caller's answer, over all connections.
	reading *reading
}

func (k *keyed) now() time.Time { return k.j.e.Clock.Now() }

// pick chooses a host whose incarnation is known, since a claim names both. If there is
// none, it waits as long as a request without a key would, since the only host of a
// service may be restarting.
func (k *keyed) pick(ctx context.Context) claims.Step {
	r := k.j.call.Request
	c := retry.Case{Request: r}
	for {
		if h, incarnation := k.find(ctx, r); incarnation != 0 {
			k.tried = append(k.tried, h.Name)
			return k.call.Picked(h.Name, incarnation)
		}
		c.Attempts = append(c.Attempts, retry.Attempt{Refusal: noHost(k.now(), r.Target)})
		d := k.j.e.decideRetry(c)
		if d.Action == retry.GiveUp {
			return k.call.NoHost(d.Refusal)
		}
		k.tried = nil
		if !k.j.waitUntil(ctx, d.At) {
			return k.call.NoHost(k.j.expired(ctx, nil, noHost(k.now(), r.Target)))
		}
	}
}

// find returns the first host of a plan whose incarnation is known or can be probed, with
// that incarnation; zero if there is none.
func (k *keyed) find(ctx context.Context, r core.Request) (Host, core.Incarnation) {
	choices, hosts := k.j.e.plan(ctx, r, k.tried)
	for _, c := range choices {
		h := hosts[c.Host]
		if incarnation := k.j.e.incarnationOf(ctx, h, r.Target); incarnation != 0 {
			return h, incarnation
		}
	}
	return Host{}, 0
}

// incarnationOf returns a host's incarnation. It probes the host if the incarnation is
// not known, and returns zero if the host does not respond.
func (e *Entry) incarnationOf(ctx context.Context, h Host, t core.Target) core.Incarnation {
	e.mu.Lock()
	known := e.host(h.Name).incarnation
	e.mu.Unlock()
	if known != 0 {
		return known
	}
	if !e.probe(ctx, h, t) {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.host(h.Name).incarnation
}

// claim has the claim recorded. While it is not known whether a claim is recorded, it
// retries with the same claim until claimRetryTime has passed: if a response was lost, the
// claimant's number distinguishes the recorded claim from another's.
func (k *keyed) claim(ctx context.Context, c claims.Claim) claims.Step {
	until := k.now().Add(claimRetryTime)
	var answer claims.Answer
	for {
		giveUp := k.now().Add(claimTimeout)
		if k.call.Deadline.Before(giveUp) {
			giveUp = k.call.Deadline
		}
		answer = k.j.e.Claim(ctx, claims.Submission{Claim: c, GiveUp: giveUp})
		again := k.now().Add(claimRetryPause)
		if answer.Result != claims.Unsure || !again.Before(until) || !k.j.waitUntil(ctx, again) {
			break
		}
	}
	k.j.e.Meter.Claim(claimMetric(answer.Result))
	if answer.Result == claims.Unsure {
		events.Log(events.ClaimsUnavailable, "request", k.j.call.Request.ID)
	}
	k.j.e.recordStep(k.j.call.Request.ID, k.now(), "claim "+claimText(answer.Result)+" for "+string(c.Host))
	return k.call.Claimed(k.now(), answer)
}

func claimMetric(r claims.Result) meter.ClaimResult {
	switch r {
	case claims.Won:
		return meter.ClaimWon
	case claims.Held:
		return meter.ClaimHeld
	default:
		return meter.ClaimUnavailable
	}
}

func claimText(r claims.Result) string {
	switch r {
	case claims.Won:
		return "won"
	case claims.Held:
		return "held by another"
	default:
		return "not recorded"
	}
}

func (k *keyed) head(c claims.Claim, h Host) *wire.WorkHead {
	head := k.j.head(h, c.Incarnation)
	head.Attempt = c.Attempt
	head.ClaimExpires = c.Expires.UnixNano()
	return head
}

// handOver sends the request to the claim's host, once.
func (k *keyed) handOver(ctx context.Context, c claims.Claim) claims.Step {
	h, ok := k.j.e.Find(c.Host)
	if !ok {
		return k.call.Ended(k.now(), claims.EndUnsent, nil, true)
	}
	since := k.now()
	k.j.e.startAttempt(h, k.j.call.Request)
	k.j.call.Answer.Reset()
	k.reading = &reading{to: k.j.call.Answer, clock: k.j.e.Clock}
	refusal, lost := k.j.readAnswer(ctx, h, k.head(c, h), k.j.call.Body, k.reading)
	k.j.e.endAttempt(h, k.j.call.Request, lossRefusal(refusal, lost), k.j.cold, since)
	return k.reportEnd(ctx, refusal, lost)
}

func lossRefusal(r *core.Refusal, l *loss) *core.Refusal {
	if r == nil && l != nil {
		return &core.Refusal{Code: core.CodeUpstreamLost, Outcome: core.MayHaveRun}
	}
	return r
}

// reportEnd passes the result of a hand-over or an attachment to the call.
func (k *keyed) reportEnd(ctx context.Context, refusal *core.Refusal, lost *loss) claims.Step {
	switch {
	case lost != nil && callerGone(ctx, lost.cause):
		return claims.Step{Kind: claims.StepRefuse, Refusal: interrupted(ctx, "")}
	case lost != nil && lost.sent:
		return k.call.Ended(k.now(), claims.EndLost, nil, false)
	case lost != nil:
		return k.call.Ended(k.now(), claims.EndUnsent, nil, false)
	case refusal == nil:
		return k.call.Ended(k.now(), claims.EndComplete, nil, false)
	}
	mayRetry := refusal.Outcome == core.NotRun && k.mayRetry(refusal)
	return k.call.Ended(k.now(), claims.EndRefused, refusal, mayRetry)
}

// mayRetry asks core/retry whether a refused request may be handed to another host.
func (k *keyed) mayRetry(refusal *core.Refusal) bool {
	d := k.j.e.decideRetry(retry.Case{
		Request: k.j.call.Request, Attempts: []retry.Attempt{{Host: refusal.Host, Refusal: refusal}},
		AnswerBegun: k.j.call.Answer.Begun(), HostsLeft: 1,
	})
	return d.Action == retry.RetryNow
}

// arrivalTimeout is how long an entry waits until an attempt that another sending of
// the request has claimed reaches its agent, before it has the attempt sealed. A
// claimant hands over within milliseconds unless it is paused or dead. peekInterval is
// the time between two checks.
const (
	arrivalTimeout = time.Second
	peekInterval   = 20 * time.Millisecond
)

// askAgent asks the agent named in a claim what became of the attempt.
func (k *keyed) askAgent(ctx context.Context, step claims.Step) claims.Step {
	if step.Claim.Claimant != k.call.Claimant {
		k.waitForArrival(ctx, step.Claim)
	}
	if !k.j.waitUntil(ctx, step.At) {
		return claims.Step{Kind: claims.StepRefuse, Refusal: interrupted(ctx, step.Claim.Host)}
	}
	c := step.Claim
	h, ok := k.j.e.Find(c.Host)
	if !ok {
		return k.call.Asked(k.now(), claims.AttemptStatus{Gone: true})
	}
	reply, err := k.seal(ctx, h, c, false)
	if err != nil {
		return k.call.Asked(k.now(), claims.AttemptStatus{})
	}
	k.j.e.recordStep(k.j.call.Request.ID, k.now(), "attempt at "+string(c.Host)+" is "+dedupe.State(reply.GetState()).String())
	return k.call.Asked(k.now(), claims.AttemptStatus{Reached: true, State: dedupe.State(reply.GetState())})
}

// waitForArrival waits until the attempt of another sending has reached its agent.
func (k *keyed) waitForArrival(ctx context.Context, c claims.Claim) {
	h, ok := k.j.e.Find(c.Host)
	until := k.now().Add(arrivalTimeout)
	for ok && k.now().Before(until) {
		reply, err := k.seal(ctx, h, c, true)
		if err == nil && !reply.GetUnseen() || !k.j.waitUntil(ctx, k.now().Add(peekInterval)) {
			return
		}
	}
}

func (k *keyed) seal(ctx context.Context, h Host, c claims.Claim, peek bool) (*wire.SealReply, error) {
	ctx, stop := context.WithTimeout(ctx, sealTimeout)
	defer stop()
	return k.j.e.Seal(ctx, h, &wire.SealCall{
		Owner: string(k.j.call.Request.Owner), Key: k.j.call.Request.Key, Attempt: c.Attempt, Incarnation: uint64(c.Incarnation),
		Expires: c.Expires.UnixNano(), Fingerprint: uint64(c.Fingerprint), Peek: peek,
	})
}

// attach reads an attempt's answer from the offset that the caller's has reached.
func (k *keyed) attach(ctx context.Context, c claims.Claim) claims.Step {
	h, ok := k.j.e.Find(c.Host)
	if !ok {
		return k.call.Asked(k.now(), claims.AttemptStatus{Gone: true})
	}
	if k.reading == nil {
		k.reading = &reading{to: k.j.call.Answer, clock: k.j.e.Clock}
	}
	head := attachHead(k.head(c, h), k.reading.offset)
	refusal, lost := k.j.readAnswer(ctx, h, head, nil, k.reading)
	return k.reportEnd(ctx, refusal, lost)
}

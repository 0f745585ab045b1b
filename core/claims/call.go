package claims

import (
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
)

const (
	// askInterval is the time between queries to an agent that can't be reached.
	// It is short compared with the time a person waits, and long compared with
	// the time a reconnection takes.
	askInterval = 250 * time.Millisecond
	// maxAttempts bounds the attempts that one request claims. Each further
	// attempt requires that an agent refused the previous one, so if it takes more
	// than a few, the fleet is unable to run the request.
	maxAttempts = 8
)

// Call is the state machine of one keyed request at one entry, from its arrival
// until its answer is decided. It decides between the outcomes "not run" and
// "may have run". Its exported fields must be set before Start.
//
// Each method returns the next Step to take. The result of the step is passed
// to the method named at its StepKind. A Call hands over each attempt at most
// once.
type Call struct {
	ID          dedupe.KeyID
	Fingerprint core.Fingerprint
	// Claimant is drawn at random for this request.
	Claimant uint64
	Deadline time.Time
	// Expires is the result of ExpiryOf for the deadline.
	Expires time.Time

	// claim is the current attempt.
	claim Claim
	// justWon is set if this call won the current claim and has not queried the agent
	// about it since, so that a refusal by the agent can't be an old one.
	justWon  bool
	attempts int
	// metOther is set if this call has come across another claimant's claim since
	// it last won one. That claimant may go on to a later attempt, so this call
	// must not answer "not run": it would be true of this call only, but the
	// caller would take it to be true of the request.
	metOther bool
}

// StepKind is the kind of action that an entry takes next.
type StepKind uint8

// Kinds of steps.
const (
	// StepPick: choose a host to run the request; then call Picked, or NoHost if
	// there is none.
	StepPick StepKind = iota
	// StepClaim: submit Step.Claim to its journal; then call Claimed.
	StepClaim
	// StepHandOver: send the request under Step.Claim to its agent, once, and
	// relay the answer; then call Ended.
	StepHandOver
	// StepAsk: ask the agent of Step.Claim for the state of its attempt, not
	// before Step.At; then call Asked.
	StepAsk
	// StepAttach: read the answer of Step.Claim's attempt from its agent and relay
	// it, starting after the bytes already relayed to this caller; then call
	// Ended.
	StepAttach
	// StepRefuse: answer the caller with Step.Refusal. The call is over.
	StepRefuse
	// StepDone: the caller has received the whole answer. The call is over.
	StepDone
)

// Step is the next action of a Call.
type Step struct {
	Kind    StepKind
	Claim   Claim
	At      time.Time
	Refusal *core.Refusal
}

// Ending is the result of a StepHandOver or StepAttach.
type Ending uint8

// Endings.
const (
	// EndComplete: the upstream's whole answer was relayed.
	EndComplete Ending = iota
	// EndRefused: the agent answered with a refusal.
	EndRefused
	// EndLost: the connection was lost before the end of the answer.
	EndLost
	// EndUnsent: nothing was sent, so the agent can't have seen the attempt.
	EndUnsent
)

// AttemptStatus is the result of a StepAsk.
type AttemptStatus struct {
	// Reached is false if the agent didn't respond.
	Reached bool
	// Gone is set if the platform no longer lists the host.
	Gone bool
	// State is the state in the agent's response. It is valid only if Reached is
	// set.
	State dedupe.State
}

// Start begins the call.
func (c *Call) Start(now time.Time) Step {
	if !now.Before(c.Deadline) {
		return c.refuse(core.Refuse(core.CodeDeadline, "the deadline passed before the request was claimed"))
	}
	c.claim.Attempt = 1
	return Step{Kind: StepPick}
}

// Picked continues with the host chosen to run the next attempt.
func (c *Call) Picked(host core.HostName, incarnation core.Incarnation) Step {
	c.justWon = false
	c.claim = Claim{
		ID: c.ID, Fingerprint: c.Fingerprint, Claimant: c.Claimant, Expires: c.Expires,
		Attempt: c.claim.Attempt, Host: host, Incarnation: incarnation,
	}
	return Step{Kind: StepClaim, Claim: c.claim}
}

// NoHost ends the call because no host can be chosen, for the reason in r.
func (c *Call) NoHost(r *core.Refusal) Step { return c.refuse(r) }

// Claimed handles the journal's answer.
func (c *Call) Claimed(now time.Time, a Answer) Step {
	switch {
	case a.Result == Unsure:
		// This attempt is never handed over, whether or not its claim was recorded.
		// Any call that comes across the claim seals the attempt.
		return c.refuse(core.RefuseUntil(core.CodeClaimUnavailable, "the idempotency key could not be recorded", a.RetryAt))
	case a.Result == Won && now.Before(c.Deadline):
		c.claim, c.justWon, c.metOther = a.Holder, true, false
		return Step{Kind: StepHandOver, Claim: c.claim}
	case a.Result == Won:
		// The journal's answer may have taken so long that others have sealed this
		// attempt and run the next one, so it counts like another's claim.
		c.metOther = true
		return c.refuse(core.Refuse(core.CodeDeadline, "the deadline passed while the key was recorded"))
	case a.Holder.Fingerprint != c.Fingerprint:
		return Step{Kind: StepRefuse, Refusal: core.Refuse(core.CodeKeyReused, "the idempotency key was used with another request")}
	}
	c.claim, c.justWon, c.metOther = a.Holder, false, true
	return Step{Kind: StepAsk, Claim: c.claim, At: now}
}

// Ended handles the result of a hand-over or attachment. The refusal r is used
// for EndRefused only; again is set if the request may be retried on another
// host.
func (c *Call) Ended(now time.Time, e Ending, r *core.Refusal, again bool) Step {
	switch {
	case e == EndComplete:
		return Step{Kind: StepDone}
	case e == EndLost:
		return Step{Kind: StepAsk, Claim: c.claim, At: now}
	case e == EndUnsent && c.justWon:
		return c.next(now, nil)
	case e == EndUnsent:
		return c.askLater(now)
	case r.Outcome != core.NotRun || r.Code == core.CodeKeyReused:
		return Step{Kind: StepRefuse, Refusal: r}
	case r.Code == core.CodeSealed:
		// Another call gave this attempt up. The attempt that it claimed next may be
		// running, so this call continues in order to find that claim.
		c.metOther = true
		return c.next(now, nil)
	case again || !c.justWon:
		return c.next(now, r)
	}
	return c.refuse(r)
}

// Asked handles the agent's response about the current attempt.
func (c *Call) Asked(now time.Time, s AttemptStatus) Step {
	switch {
	case s.Reached && s.State == dedupe.Sealed:
		// Another call may have sealed the attempt earlier.
		c.metOther = true
		return c.next(now, nil)
	case s.Reached && s.State == dedupe.Lost:
		return c.refuse(mayHaveRun("the request with this key ran or may have run, and its answer is lost"))
	case s.Reached:
		// A refusal read by attaching may be out of date: the agent kept it, and
		// other calls may have started the next attempt since.
		c.justWon, c.metOther = false, true
		return Step{Kind: StepAttach, Claim: c.claim}
	case s.Gone:
		return c.refuse(mayHaveRun("the host that was to run the request with this key is gone"))
	}
	return c.askLater(now)
}

// askLater returns the step that asks the agent again after askInterval, or a
// refusal if the deadline comes first.
func (c *Call) askLater(now time.Time) Step {
	at := now.Add(askInterval)
	if !at.Before(c.Deadline) {
		return c.refuse(mayHaveRun("the host that was to run the request with this key can't be reached"))
	}
	return Step{Kind: StepAsk, Claim: c.claim, At: at}
}

// next goes on to the next attempt, or ends the call with r if there is none.
// The current attempt must be known never to run: its agent sealed or refused
// it, or this call claimed it and sent nothing.
func (c *Call) next(now time.Time, r *core.Refusal) Step {
	c.attempts++
	if c.attempts >= maxAttempts || !now.Before(c.Deadline) {
		if r == nil {
			r = core.Refuse(core.CodeWaitTooLong, "no attempt could be started before the deadline")
		}
		return c.refuse(r)
	}
	c.claim = Claim{Attempt: c.claim.Attempt + 1}
	return Step{Kind: StepPick}
}

func (c *Call) refuse(r *core.Refusal) Step {
	if c.metOther && r.Outcome == core.NotRun {
		r = mayHaveRun("another sending of the request with this key may have run: " + r.Reason)
	}
	return Step{Kind: StepRefuse, Refusal: r}
}

func mayHaveRun(reason string) *core.Refusal {
	return &core.Refusal{Code: core.CodeAnswerLost, Outcome: core.MayHaveRun, Reason: reason}
}

package claims

import (
	"time"

	"radishwell/core"
	"radishwell/core/dedupe"
)

const (
	// askAgain is the time between two questions to an agent that can't be
	// reached: short against a person's wait, long against a reconnection.
	askAgain = 250 * time.Millisecond
	// maxAttempts bounds the attempts one request claims. Each needs a refusal
	// by an agent, so more than a few mean that the fleet is in no state to run
	// the request.
	maxAttempts = 8
)

// Call is the state machine of one keyed request at one entry, from arrival to
// the choice of what to answer. It is where "not run" and "may have run" are
// told apart. Fields are set before Start.
//
// Each method returns the one Step to take next; its outcome comes back by the
// method that the StepKind names. A Call hands each attempt over at most once.
type Call struct {
	ID          dedupe.KeyID
	Fingerprint core.Fingerprint
	// Claimant is drawn at random for this request.
	Claimant uint64
	Deadline time.Time
	// Expires is what ExpiryOf returns for the deadline.
	Expires time.Time

	// claim is the attempt at hand. Mine tells that this call claimed it and has
	// not asked about it since: what its agent says of it is news.
	claim    Claim
	mine     bool
	attempts int
	// met tells that this call met somebody else's claim since it last won one.
	// Whoever made that claim may be going on with a later attempt, so "not run"
	// would be true of this sending but the caller would take it for the request.
	met bool
}

// StepKind is what an entry is to do next.
type StepKind uint8

// Kinds of steps.
const (
	// StepPick: choose a host that may run the request; then call Picked, or
	// NoHost.
	StepPick StepKind = iota
	// StepClaim: ask the journal for Step.Claim; then call Claimed.
	StepClaim
	// StepHandOver: hand the request over under Step.Claim, once, and relay what
	// comes; then call Ended.
	StepHandOver
	// StepAsk: ask the agent of Step.Claim what became of its attempt, not
	// before Step.At; then call Asked.
	StepAsk
	// StepAttach: read the answer of Step.Claim's attempt from its agent and
	// relay it from where this caller's answer stands; then call Ended.
	StepAttach
	// StepRefuse: answer the caller with Step.Refusal. The call is over.
	StepRefuse
	// StepDone: the caller has its whole answer. The call is over.
	StepDone
)

// Step is what to do next.
type Step struct {
	Kind    StepKind
	Claim   Claim
	At      time.Time
	Refusal *core.Refusal
}

// Ending is how a hand-over or attachment ended.
type Ending uint8

// Endings.
const (
	// EndWhole: the upstream's whole answer was relayed.
	EndWhole Ending = iota
	// EndRefused: the agent answered with a refusal.
	EndRefused
	// EndLost: contact was lost before the end of the answer.
	EndLost
	// EndUnsent: nothing was sent; the agent can't have seen the attempt.
	EndUnsent
)

// Standing is an agent's answer about an attempt.
type Standing struct {
	// Reached is false where the agent gave no answer.
	Reached bool
	// Gone tells that the platform no longer lists the host.
	Gone  bool
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

// Picked takes the host chosen to run the next attempt.
func (c *Call) Picked(host core.HostName, incarnation core.Incarnation) Step {
	c.mine = false
	c.claim = Claim{
		ID: c.ID, Fingerprint: c.Fingerprint, Claimant: c.Claimant, Expires: c.Expires,
		Attempt: c.claim.Attempt, Host: host, Incarnation: incarnation,
	}
	return Step{Kind: StepClaim, Claim: c.claim}
}

// NoHost ends the call with the reason why there is no host to pick.
func (c *Call) NoHost(r *core.Refusal) Step { return c.refuse(r) }

// Claimed takes the journal's answer.
func (c *Call) Claimed(now time.Time, a Answer) Step {
	switch {
	case a.Result == Unsure:
		// Whether or not the claim was recorded, its attempt is never handed
		// over, and whoever meets it seals it.
		return c.refuse(core.RefuseUntil(core.CodeClaimUnknown, "the idempotency key could not be recorded", a.RetryAt))
	case a.Result == Won && now.Before(c.Deadline):
		c.claim, c.mine, c.met = a.Holder, true, false
		return Step{Kind: StepHandOver, Claim: c.claim}
	case a.Result == Won:
		// The answer may have taken long enough for others to seal this attempt
		// and run the next, so this is a claim met rather than one won.
		c.met = true
		return c.refuse(core.Refuse(core.CodeDeadline, "the deadline passed while the key was recorded"))
	case a.Holder.Fingerprint != c.Fingerprint:
		return Step{Kind: StepRefuse, Refusal: core.Refuse(core.CodeKeyReused, "the idempotency key was used with another request")}
	}
	c.claim, c.mine, c.met = a.Holder, false, true
	return Step{Kind: StepAsk, Claim: c.claim, At: now}
}

// Ended takes how a hand-over or attachment ended. The refusal counts for
// EndRefused only; again tells that the request may be tried on another host.
func (c *Call) Ended(now time.Time, e Ending, r *core.Refusal, again bool) Step {
	switch {
	case e == EndWhole:
		return Step{Kind: StepDone}
	case e == EndLost:
		return Step{Kind: StepAsk, Claim: c.claim, At: now}
	case e == EndUnsent && c.mine:
		return c.next(now, nil)
	case e == EndUnsent:
		return c.ask(now)
	case r.Outcome != core.NotRun || r.Code == core.CodeKeyReused:
		return Step{Kind: StepRefuse, Refusal: r}
	case r.Code == core.CodeSealed:
		// Somebody else gave this attempt up; what they claimed after it may be
		// running, so this call goes on to find that claim.
		c.met = true
		return c.next(now, nil)
	case again || !c.mine:
		return c.next(now, r)
	}
	return c.refuse(r)
}

// Asked takes an agent's answer about the attempt at hand.
func (c *Call) Asked(now time.Time, s Standing) Step {
	switch {
	case s.Reached && s.State == dedupe.Sealed:
		// It may have been somebody else who sealed it, earlier.
		c.met = true
		return c.next(now, nil)
	case s.Reached && s.State == dedupe.Lost:
		return c.refuse(mayHaveRun("the request with this key ran or may have run, and its answer is lost"))
	case s.Reached:
		// A refusal read this way may be an old one, kept by the agent while
		// others have gone on to the next attempt.
		c.mine, c.met = false, true
		return Step{Kind: StepAttach, Claim: c.claim}
	case s.Gone:
		return c.refuse(mayHaveRun("the host that was to run the request with this key is gone"))
	}
	return c.ask(now)
}

// ask asks the agent again after a pause, while the deadline leaves time.
func (c *Call) ask(now time.Time) Step {
	at := now.Add(askAgain)
	if !at.Before(c.Deadline) {
		return c.refuse(mayHaveRun("the host that was to run the request with this key can't be reached"))
	}
	return Step{Kind: StepAsk, Claim: c.claim, At: at}
}

// next goes on to the following attempt. The one at hand is known never to run:
// its agent sealed or refused it, or this call claimed it and sent nothing.
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
	if c.met && r.Outcome == core.NotRun {
		r = mayHaveRun("another sending of the request with this key may have run: " + r.Reason)
	}
	return Step{Kind: StepRefuse, Refusal: r}
}

func mayHaveRun(reason string) *core.Refusal {
	return &core.Refusal{Code: core.CodeRanElsewhere, Outcome: core.MayHaveRun, Reason: reason}
}

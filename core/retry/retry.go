package retry

import (
	"math/rand/v2"
	"time"

	"radishwell/core"
)

const (
	// maxAttempts bounds the attempts at one request, including the first.
	// After three hosts that lost or refused a request, a fourth rarely behaves
	// differently, and the caller is better served by an answer.
	maxAttempts = 4
	// maxAttemptsTotal also counts the attempts at hosts that did no work, such
	// as a host that is restarting. With the backoff that such refusals ask
	// for, that many attempts take longer than a restart, so a model with one
	// replica is available again. A host that stays down costs each request a
	// dozen refused connections.
	maxAttemptsTotal = 12
	// maxLost bounds the attempts of a repeatable request that were lost and
	// may have run. A request that crashes engines takes down one engine with
	// each.
	maxLost = 2
	// minBackoff is the first backoff if no other host is left and the refusal
	// names no time. It doubles with each attempt, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// jitter is the random part of a backoff. Without it all requests that were
	// refused together would return together.
	jitter = 0.5
)

// Attempt is one finished attempt at a request.
type Attempt struct {
	Host core.HostName
	// Refusal is how the attempt ended. Successful attempts are not recorded.
	Refusal *core.Refusal
}

// Case is a request whose last attempt failed.
type Case struct {
	Request core.Request
	// Attempts lists all attempts so far in order.
	Attempts []Attempt
	// AnswerBegun is set if a byte of an answer has been sent to the caller.
	AnswerBegun bool
	// HostsLeft counts the hosts of the current plan that have not been tried.
	HostsLeft int
	// ServiceTime is the expected service time of the request; zero if unknown.
	ServiceTime time.Duration
}

// Action is what to do after a failed attempt.
type Action uint8

// The values of Action.
const (
	// GiveUp means to answer the caller with Decision.Refusal now.
	GiveUp Action = iota
	// RetryNow means to send the request to another host now.
	RetryNow
	// RetryLater means to compute a new plan at Decision.At, with all hosts in
	// it.
	RetryLater
)

// Why names the rule behind a decision, for the explain command.
type Why uint8

// The values of Why.
const (
	WhyFinal Why = iota
	WhyBegun
	WhyMayHaveRun
	WhyAttempts
	WhyDeadline
	WhyBudget
	WhyOtherHost
	WhyPause
	whyCount
)

var whyNames = [whyCount]string{
	"refusal is final", "answer has begun", "may have run", "attempts used up",
	"no time before the deadline", "retry budget used up", "another host", "pause",
}

// String returns a description of the rule.
func (w Why) String() string {
	if w >= whyCount {
		return "unknown"
	}
	return whyNames[w]
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// At is the time of the next attempt if Action is RetryLater.
	At time.Time
	// Refusal is the answer to the caller if Action is GiveUp.
	Refusal *core.Refusal
	Why     Why
}

// Decide returns what to do after a failed attempt. A retry that it allows is
// taken from the budget, unless the last host did no work for the request. rng
// is the source of the jitter.
func (b *Budgets) Decide(now time.Time, c Case, rng *rand.Rand) Decision {
	if why, ok := c.final(); ok {
		return c.giveUp(why)
	}
	at, why := c.nextAttempt(now, rng)
	if !c.canFinish(at) {
		return c.giveUp(WhyDeadline)
	}
	if c.chargesBudget() && !b.spend(c.Request.Target.Service) {
		return c.giveUp(WhyBudget)
	}
	if why == WhyOtherHost {
		return Decision{Action: RetryNow, Why: why}
	}
	return Decision{Action: RetryLater, At: at, Why: why}
}

func (c *Case) last() *core.Refusal { return c.Attempts[len(c.Attempts)-1].Refusal }

// final returns the rule that forbids any further attempt, if there is one.
func (c *Case) final() (Why, bool) {
	switch {
	case c.AnswerBegun:
		return WhyBegun, true
	case !retryable(c.last().Code):
		return WhyFinal, true
	case c.outcome() != core.NotRun && !c.Request.Repeatable:
		return WhyMayHaveRun, true
	case c.workedAttempts() >= maxAttempts, len(c.Attempts) >= maxAttemptsTotal, c.lostAttempts() >= maxLost:
		return WhyAttempts, true
	}
	return 0, false
}

// retryable reports whether another attempt may have another outcome. A fault
// of the request itself, or a limit that applies to the owner as a whole, is
// the same at every host.
func retryable(code core.Code) bool {
	switch code {
	case core.CodeNoHost, core.CodeNoMemory, core.CodeNotGranted, core.CodeLoadFailed,
		core.CodeLeaving, core.CodeSealed, core.CodeQueueFull, core.CodeOverload, core.CodeWaitTooLong,
		core.CodeConcurrency, core.CodeUnreached, core.CodeUpstreamFailed, core.CodeUpstreamLost,
		core.CodeClaimUnavailable, core.CodeNotReady:
		return true
	default:
		return false
	}
}

// chargesBudget reports whether the retry is taken from the budget. A host that
// is leaving or holds no grant did no work, and it refuses many requests at
// once when hosts are stopped one after the other. A budget would fail requests
// that such a stop must not interrupt. These retries are bounded by
// maxAttemptsTotal.
func (c *Case) chargesBudget() bool { return !noWork(c.last().Code) }

// noWork reports whether a code means that the host did no work for the
// request.
func noWork(code core.Code) bool {
	switch code {
	case core.CodeLeaving, core.CodeNotGranted, core.CodeNoHost, core.CodeSealed, core.CodeUnreached:
		return true
	default:
		return false
	}
}

// workedAttempts counts the attempts for which a host did work.
func (c *Case) workedAttempts() int {
	n := 0
	for _, a := range c.Attempts {
		if !noWork(a.Refusal.Code) {
			n++
		}
	}
	return n
}

// lostAttempts counts the attempts that may have run.
func (c *Case) lostAttempts() int {
	n := 0
	for _, a := range c.Attempts {
		if a.Refusal.Outcome != core.NotRun {
			n++
		}
	}
	return n
}

// outcome returns the outcome over all attempts: not-run only if none can have
// run.
func (c *Case) outcome() core.Outcome {
	if c.lostAttempts() > 0 {
		return core.MayHaveRun
	}
	return core.NotRun
}

// nextAttempt returns when the next attempt can be made.
func (c *Case) nextAttempt(now time.Time, rng *rand.Rand) (time.Time, Why) {
	if c.HostsLeft > 0 {
		return now, WhyOtherHost
	}
	backoff := min(maxBackoff, minBackoff<<(len(c.Attempts)-1))
	from := now
	if at := c.last().RetryAt; at.After(now) {
		from = at
	} else {
		from = from.Add(time.Duration(float64(backoff) * (1 - jitter)))
	}
	return from.Add(time.Duration(rng.Float64() * jitter * float64(backoff))), WhyPause
}

// canFinish reports whether an attempt at the given time can finish before the
// deadline.
func (c *Case) canFinish(at time.Time) bool {
	if c.Request.Deadline.IsZero() {
		return true
	}
	return at.Add(c.ServiceTime).Before(c.Request.Deadline)
}

// giveUp returns the final refusal, which is that of the last attempt with the
// outcome over all attempts.
func (c *Case) giveUp(why Why) Decision {
	ref := *c.last()
	if out := c.outcome(); ref.Outcome == core.NotRun && out != core.NotRun {
		ref.Outcome = out
	}
	return Decision{Action: GiveUp, Refusal: &ref, Why: why}
}

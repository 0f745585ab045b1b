package retry

import (
	"math/rand/v2"
	"time"

	"radishwell/core"
)

const (
	// mostAttempts bounds the attempts at one request, the first included. With
	// three hosts that lost it or turned it away, a fourth rarely differs, and a
	// caller is better served by an answer.
	mostAttempts = 4
	// mostInAll bounds them together with those that met a host which did no work:
	// one that is being restarted, say. At the pause that such refusals ask for it
	// is longer than a restart takes, so that a model with one replica is there
	// again; a host that stays away costs each request a dozen refused connections.
	mostInAll = 12
	// mostLost bounds the attempts of a repeatable request that may have run and
	// were lost. A request that crashes engines takes one engine with each.
	mostLost = 2
	// pauseFirst is the first pause where no other host is left and the refusal
	// names no time; it doubles with each attempt, up to pauseMost.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 2 * time.Second
	// jitter is the part of a pause that is drawn at random. Without it all
	// requests that were refused together come back together.
	jitter = 0.5
)

// Attempt is one finished attempt at a request.
type Attempt struct {
	Host core.HostName
	// Refusal is how it ended; attempts that succeeded are not kept.
	Refusal *core.Refusal
}

// Case is a request whose last attempt failed.
type Case struct {
	Request core.Request
	// Attempts are all attempts so far, the last one last.
	Attempts []Attempt
	// Begun tells that a byte of an answer has gone to the caller.
	Begun bool
	// HostsLeft counts the hosts of the present plan that were not tried.
	HostsLeft int
	// Service is how long the request should run, zero where unknown.
	Service time.Duration
}

// Action is what to do next.
type Action uint8

// Actions.
const (
	// GiveUp: answer the caller with Decision.Refusal now.
	GiveUp Action = iota
	// Again: hand the request to another host now.
	Again
	// Later: ask again for a plan at Decision.At, with all hosts in it.
	Later
)

// Why names the rule behind a decision, for explain.
type Why uint8

// Rules.
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

// String returns the rule in words.
func (w Why) String() string {
	if w >= whyCount {
		return "unknown"
	}
	return whyNames[w]
}

// Decision is the answer to a Case.
type Decision struct {
	Action Action
	// At is when to go on, for Later.
	At time.Time
	// Refusal is the caller's answer, for GiveUp.
	Refusal *core.Refusal
	Why     Why
}

// Decide says what to do after a failed attempt. A retry that it allows is taken
// from the budget. rng is the source of jitter.
func (b *Budgets) Decide(now time.Time, c Case, rng *rand.Rand) Decision {
	if why, ok := c.final(); ok {
		return c.giveUp(why)
	}
	at, why := c.next(now, rng)
	if !c.fits(at) {
		return c.giveUp(WhyDeadline)
	}
	if c.costs() && !b.draw(c.Request.Target.Service) {
		return c.giveUp(WhyBudget)
	}
	if why == WhyOtherHost {
		return Decision{Action: Again, Why: why}
	}
	return Decision{Action: Later, At: at, Why: why}
}

func (c *Case) last() *core.Refusal { return c.Attempts[len(c.Attempts)-1].Refusal }

// final reports the rules that forbid another attempt at any time.
func (c *Case) final() (Why, bool) {
	switch {
	case c.Begun:
		return WhyBegun, true
	case !retryable(c.last().Code):
		return WhyFinal, true
	case c.outcome() != core.NotRun && !c.Request.Repeatable:
		return WhyMayHaveRun, true
	case c.worked() >= mostAttempts, len(c.Attempts) >= mostInAll, c.lost() >= mostLost:
		return WhyAttempts, true
	}
	return 0, false
}

// retryable reports whether another attempt can end otherwise. What is wrong
// with the request itself, or counted for the owner as a whole, is the same at
// every host.
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

// costs reports whether the retry draws on the budget. A host that is leaving or
// holds no grant did no work, and says so to many requests at once when hosts
// are stopped one after the other; a budget would fail requests there that the
// stop must not cut. Such retries are bounded by mostAttempts.
func (c *Case) costs() bool { return !idle(c.last().Code) }

// idle reports whether a refusal comes of a host that did no work for the
// request.
func idle(code core.Code) bool {
	switch code {
	case core.CodeLeaving, core.CodeNotGranted, core.CodeNoHost, core.CodeSealed, core.CodeUnreached:
		return true
	default:
		return false
	}
}

// worked counts the attempts that a host did work for.
func (c *Case) worked() int {
	n := 0
	for _, a := range c.Attempts {
		if !idle(a.Refusal.Code) {
			n++
		}
	}
	return n
}

// lost counts the attempts that may have run.
func (c *Case) lost() int {
	n := 0
	for _, a := range c.Attempts {
		if a.Refusal.Outcome != core.NotRun {
			n++
		}
	}
	return n
}

// outcome is what is known over all attempts: not-run only if none can have run.
func (c *Case) outcome() core.Outcome {
	if c.lost() > 0 {
		return core.MayHaveRun
	}
	return core.NotRun
}

// next returns when the next attempt can be made.
func (c *Case) next(now time.Time, rng *rand.Rand) (time.Time, Why) {
	if c.HostsLeft > 0 {
		return now, WhyOtherHost
	}
	pause := min(pauseMost, pauseFirst<<(len(c.Attempts)-1))
	from := now
	if at := c.last().RetryAt; at.After(now) {
		from = at
	} else {
		from = from.Add(time.Duration(float64(pause) * (1 - jitter)))
	}
	return from.Add(time.Duration(rng.Float64() * jitter * float64(pause))), WhyPause
}

// fits reports whether an attempt made then can end in time.
func (c *Case) fits(at time.Time) bool {
	if c.Request.Deadline.IsZero() {
		return true
	}
	return at.Add(c.Service).Before(c.Request.Deadline)
}

// giveUp returns the final refusal: the last attempt's, with the outcome over
// all attempts.
func (c *Case) giveUp(why Why) Decision {
	ref := *c.last()
	if out := c.outcome(); ref.Outcome == core.NotRun && out != core.NotRun {
		ref.Outcome = out
	}
	return Decision{Action: GiveUp, Refusal: &ref, Why: why}
}

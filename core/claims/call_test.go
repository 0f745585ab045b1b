package claims

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// picked returns a call that is about to claim its first attempt.
func picked() *Call {
	c := &Call{Fingerprint: 7, Claimant: 1, Deadline: start.Add(time.Minute), Expires: start.Add(time.Hour)}
	c.Start(start)
	c.Picked("agent-0", 1)
	return c
}

func won(c *Call) Answer { return Answer{Result: Won, Holder: c.claim} }

func assertRefusal(t *testing.T, s Step, code core.Code, outcome core.Outcome) {
	t.Helper()
	assert.Equal(t, s.Kind, StepRefuse)
	assert.Equal(t, s.Refusal.Code, code)
	assert.Equal(t, s.Refusal.Outcome, outcome)
}

// An entry is paused while it waits for its claim. Meanwhile the caller's
// repeat has the attempt sealed and runs the next. When the entry goes on, its
// deadline has passed; it must not say that the request didn't run.
func TestClaimWonAfterDeadline(t *testing.T) {
	c := picked()
	assertRefusal(t, c.Claimed(start.Add(time.Minute), won(c)), core.CodeRanElsewhere, core.MayHaveRun)
}

// An entry loses contact in a hand-over and finds its attempt sealed: by its own
// question, or by that of a repeat that has run the next attempt since. If it
// can't claim the next one itself, it must not say that the request didn't run.
func TestOwnAttemptFoundSealed(t *testing.T) {
	c := picked()
	assert.Equal(t, c.Claimed(start, won(c)).Kind, StepHandOver)
	assert.Equal(t, c.Ended(start, EndLost, nil, false).Kind, StepAsk)
	assert.Equal(t, c.Asked(start, Standing{Reached: true, State: dedupe.Sealed}).Kind, StepPick)
	no := core.Refuse(core.CodeNoHost, "no host")
	assertRefusal(t, c.NoHost(no), core.CodeRanElsewhere, core.MayHaveRun)
}

// The attempt arrives after a repeat's entry has sealed it. Its entry goes on to
// the next attempt and finds there what the repeat claimed.
func TestSealedHandOverFollowsTheNextAttempt(t *testing.T) {
	c := picked()
	c.Claimed(start, won(c))
	sealed := core.Refuse(core.CodeSealed, "sealed")
	assert.Equal(t, c.Ended(start, EndRefused, sealed, false).Kind, StepPick)
	s := c.Picked("agent-1", 1)
	assert.Equal(t, s.Claim.Attempt, uint64(2))
	other := s.Claim
	other.Claimant, other.Host = 2, "agent-2"
	s = c.Claimed(start, Answer{Result: Held, Holder: other})
	assert.Equal(t, s.Kind, StepAsk)
	assert.Equal(t, s.Claim.Host, core.HostName("agent-2"))
	assert.Equal(t, c.Asked(start, Standing{Reached: true, State: dedupe.Done}).Kind, StepAttach)
	assert.Equal(t, c.Ended(start, EndWhole, nil, false).Kind, StepDone)
}

// An entry loses contact in a hand-over and attaches again. The agent has refused
// the attempt from its queue since, and a repeat has run the next one before the
// entry hears of that. The refusal is old; the entry must look for the next claim.
func TestRefusalReadLaterIsNoNews(t *testing.T) {
	c := picked()
	c.Claimed(start, won(c))
	c.Ended(start, EndLost, nil, false)
	assert.Equal(t, c.Asked(start, Standing{Reached: true, State: dedupe.Running}).Kind, StepAttach)
	full := core.Refuse(core.CodeQueueFull, "full")
	assert.Equal(t, c.Ended(start, EndRefused, full, false).Kind, StepPick)
	assertRefusal(t, c.NoHost(full), core.CodeRanElsewhere, core.MayHaveRun)
}

func TestRefusedFirstHandIsNotRun(t *testing.T) {
	c := picked()
	c.Claimed(start, won(c))
	full := core.Refuse(core.CodeQueueFull, "full")
	assertRefusal(t, c.Ended(start, EndRefused, full, false), core.CodeQueueFull, core.NotRun)
}

func TestUnreachableAgentIsAskedUntilTheDeadline(t *testing.T) {
	c := picked()
	c.Claimed(start, won(c))
	s := c.Ended(start, EndLost, nil, false)
	asks := 0
	for ; s.Kind == StepAsk; asks++ {
		s = c.Asked(s.At, Standing{})
	}
	assert.Equal(t, asks, int(time.Minute/askAgain))
	assertRefusal(t, s, core.CodeRanElsewhere, core.MayHaveRun)
}

func TestAttemptsAreBounded(t *testing.T) {
	c := picked()
	c.Claimed(start, won(c))
	s := Step{}
	for n := 1; s.Kind == StepPick; n++ {
		assert.Assert(t, n <= maxAttempts)
		s = c.Ended(start, EndRefused, core.Refuse(core.CodeLeaving, "leaving"), true)
		if s.Kind == StepPick {
			c.Picked("agent-1", 1)
			c.Claimed(start, won(c))
		}
	}
	assertRefusal(t, s, core.CodeLeaving, core.NotRun)
}

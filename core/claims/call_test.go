package claims

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/dedupe"
)

// picked returns a call whose next step is to claim its first attempt.
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

// TestClaimWonAfterDeadline guards against a wrong "not run". An entry pauses
// while it waits for its claim; meanwhile a repeated request seals the attempt
// and runs the next one. The entry resumes after its deadline.
func TestClaimWonAfterDeadline(t *testing.T) {
	c := picked()
	assertRefusal(t, c.Claimed(start.Add(time.Minute), won(c)), core.CodeAnswerLost, core.MayHaveRun)
}

// TestOwnAttemptFoundSealed guards against a wrong "not run". An entry loses the
// connection during a hand-over and finds its attempt sealed, either by its own
// query or by that of a repeated request, which may have run the next attempt.
// The entry then can't claim the next attempt itself.
func TestOwnAttemptFoundSealed(t *testing.T) {
	c := picked()
	assert.Equal(t, c.Claimed(start, won(c)).Kind, StepHandOver)
	assert.Equal(t, c.Ended(start, EndLost, nil, false).Kind, StepAsk)
	assert.Equal(t, c.Asked(start, AttemptStatus{Reached: true, State: dedupe.Sealed}).Kind, StepPick)
	no := core.Refuse(core.CodeNoHost, "no host")
	assertRefusal(t, c.NoHost(no), core.CodeAnswerLost, core.MayHaveRun)
}

// TestSealedHandOverFollowsTheNextAttempt checks that an entry whose attempt was
// sealed before it arrived goes on to the next attempt and attaches to the one
// that the repeated request claimed.
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
	assert.Equal(t, c.Asked(start, AttemptStatus{Reached: true, State: dedupe.Done}).Kind, StepAttach)
	assert.Equal(t, c.Ended(start, EndComplete, nil, false).Kind, StepDone)
}

// TestRefusalReadLaterMayBeStale guards against a wrong "not run". An entry
// loses the connection during a hand-over and attaches to the attempt. The agent
// then refuses the attempt from its queue, and a repeated request runs the next
// one before the entry learns of the refusal. The refusal is out of date, so the
// entry must look for the next claim.
func TestRefusalReadLaterMayBeStale(t *testing.T) {
	c := picked()
	c.Claimed(start, won(c))
	c.Ended(start, EndLost, nil, false)
	assert.Equal(t, c.Asked(start, AttemptStatus{Reached: true, State: dedupe.Running}).Kind, StepAttach)
	full := core.Refuse(core.CodeQueueFull, "full")
	assert.Equal(t, c.Ended(start, EndRefused, full, false).Kind, StepPick)
	assertRefusal(t, c.NoHost(full), core.CodeAnswerLost, core.MayHaveRun)
}

func TestRefusedHandOverIsNotRun(t *testing.T) {
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
		s = c.Asked(s.At, AttemptStatus{})
	}
	assert.Equal(t, asks, int(time.Minute/askInterval))
	assertRefusal(t, s, core.CodeAnswerLost, core.MayHaveRun)
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

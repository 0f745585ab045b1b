package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/retry"
)

var t0 = time.Date(2030, 1, 1, 20, 0, 0, 0, time.UTC)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// failedCase returns a case with one failed attempt and one host left.
func failedCase(code core.Code, out core.Outcome) retry.Case {
	return retry.Case{
		Request: core.Request{
			ID: "1", Target: core.Target{Service: "qalam"}, Arrived: t0, Deadline: t0.Add(10 * time.Second),
		},
		Attempts:  []retry.Attempt{{Host: "a", Refusal: &core.Refusal{Code: code, Outcome: out}}},
		HostsLeft: 1,
	}
}

func wantGiveUp(t *testing.T, d retry.Decision, out core.Outcome, why retry.Why) {
	t.Helper()
	assert.Equal(t, d.Why.String(), why.String())
	assert.Equal(t, d.Action, retry.GiveUp)
	assert.Equal(t, d.Refusal.Outcome, out)
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*retry.Case)
		action retry.Action
		out    core.Outcome
		why    retry.Why
	}{
		{"not run", func(*retry.Case) {}, retry.RetryNow, 0, retry.WhyOtherHost},
		{"may have run", func(c *retry.Case) {
			c.Attempts[0].Refusal.Outcome = core.MayHaveRun
		}, retry.GiveUp, core.MayHaveRun, retry.WhyMayHaveRun},
		{"may have run but repeatable", func(c *retry.Case) {
			c.Attempts[0].Refusal.Outcome = core.MayHaveRun
			c.Request.Repeatable = true
		}, retry.RetryNow, 0, retry.WhyOtherHost},
		{"answer begun", func(c *retry.Case) {
			c.Request.Repeatable = true
			c.AnswerBegun = true
		}, retry.GiveUp, core.NotRun, retry.WhyBegun},
		{"quarantined", func(c *retry.Case) {
			c.Attempts[0].Refusal.Code = core.CodeQuarantined
		}, retry.GiveUp, core.NotRun, retry.WhyFinal},
		{"no time to run again", func(c *retry.Case) {
			c.ServiceTime = 11 * time.Second
		}, retry.GiveUp, core.NotRun, retry.WhyDeadline},
		{"no host left", func(c *retry.Case) {
			c.HostsLeft = 0
		}, retry.RetryLater, 0, retry.WhyPause},
		{"no host left until after the deadline", func(c *retry.Case) {
			c.HostsLeft = 0
			c.Attempts[0].Refusal.RetryAt = t0.Add(11 * time.Second)
		}, retry.GiveUp, core.NotRun, retry.WhyDeadline},
		{"lost twice", func(c *retry.Case) {
			c.Request.Repeatable = true
			c.Attempts[0].Refusal.Outcome = core.MayHaveRun
			c.Attempts = append(c.Attempts, c.Attempts[0])
		}, retry.GiveUp, core.MayHaveRun, retry.WhyAttempts},
		{"four attempts", func(c *retry.Case) {
			c.Attempts = append(c.Attempts, c.Attempts[0], c.Attempts[0], c.Attempts[0])
		}, retry.GiveUp, core.NotRun, retry.WhyAttempts},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := failedCase(core.CodeOverload, core.NotRun)
			c.change(&in)
			d := (&retry.Budgets{}).Decide(t0, in, rng())
			if c.action == retry.GiveUp {
				wantGiveUp(t, d, c.out, c.why)
				return
			}
			assert.Equal(t, d.Why.String(), c.why.String())
			assert.Equal(t, d.Action, c.action)
		})
	}
}

// The first host loses a repeatable request and the second refuses it as not
// run. The refusal sent to the caller must not say not-run, because the first
// host may have run the request.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	c := failedCase(core.CodeUpstreamLost, core.MayHaveRun)
	c.Request.Repeatable = true
	c.Attempts = append(c.Attempts, retry.Attempt{Host: "b", Refusal: core.Refuse(core.CodeQuarantined, "")})
	wantGiveUp(t, (&retry.Budgets{}).Decide(t0, c, rng()), core.MayHaveRun, retry.WhyFinal)
	assert.Equal(t, c.Attempts[1].Refusal.Outcome, core.NotRun, "the attempt's own refusal was changed")
}

func TestPauses(t *testing.T) {
	c := failedCase(core.CodeNoHost, core.NotRun)
	c.HostsLeft = 0
	r := rng()
	times := make(map[time.Time]bool)
	for range 50 {
		d := (&retry.Budgets{}).Decide(t0, c, r)
		assert.Assert(t, d.At.After(t0.Add(49*time.Millisecond)) && d.At.Before(t0.Add(101*time.Millisecond)))
		times[d.At] = true
	}
	assert.Assert(t, len(times) > 40, "requests refused together are retried together")
	c.Attempts[0].Refusal.RetryAt = t0.Add(3 * time.Second)
	assert.Assert(t, !(&retry.Budgets{}).Decide(t0, c, r).At.Before(t0.Add(3*time.Second)))
}

// During a rolling stop one host after the other refuses all requests as
// leaving. All of those requests go to other hosts, and the budget does not
// limit their number.
func TestLeavingUsesNoBudget(t *testing.T) {
	b := &retry.Budgets{}
	for range 1000 {
		assert.Equal(t, b.Decide(t0, failedCase(core.CodeLeaving, core.NotRun), rng()).Action, retry.RetryNow)
	}
	assert.Equal(t, b.Remaining("qalam"), 10)
}

func TestBudgetsAreSeparate(t *testing.T) {
	b := &retry.Budgets{}
	in := failedCase(core.CodeOverload, core.NotRun)
	for range 10 {
		assert.Equal(t, b.Decide(t0, in, rng()).Action, retry.RetryNow)
	}
	wantGiveUp(t, b.Decide(t0, in, rng()), core.NotRun, retry.WhyBudget)
	other := failedCase(core.CodeOverload, core.NotRun)
	other.Request.Target.Service = "sijill"
	assert.Equal(t, b.Decide(t0, other, rng()).Action, retry.RetryNow)
	for range 10 {
		b.RecordFirst("qalam")
	}
	assert.Equal(t, b.Decide(t0, in, rng()).Action, retry.RetryNow)
	assert.Equal(t, b.Decide(t0, in, rng()).Why, retry.WhyBudget)
}

func BenchmarkDecide(b *testing.B) {
	budgets := &retry.Budgets{}
	in := failedCase(core.CodeOverload, core.NotRun)
	r := rng()
	b.ReportAllocs()
	for b.Loop() {
		for range 10 {
			budgets.RecordFirst("qalam")
		}
		budgets.Decide(t0, in, r)
	}
}

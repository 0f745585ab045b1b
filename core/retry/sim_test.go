package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/eventq"
	"radishwell/core/retry"
)

// policy is a retry policy: the budgets under test, or the naive retries that they
// are compared with.
type policy interface {
	recordFirst(service core.ServiceName)
	decide(now time.Time, c retry.Case, r *rand.Rand) retry.Decision
}

type budgetPolicy struct{ b retry.Budgets }

func (b *budgetPolicy) recordFirst(service core.ServiceName) { b.b.RecordFirst(service) }
func (b *budgetPolicy) decide(now time.Time, c retry.Case, r *rand.Rand) retry.Decision {
	return b.b.Decide(now, c, r)
}

// naivePolicy retries after 10 ms until the deadline, at any host and without a
// budget.
type naivePolicy struct{}

func (naivePolicy) recordFirst(core.ServiceName) {}
func (naivePolicy) decide(now time.Time, c retry.Case, _ *rand.Rand) retry.Decision {
	at := now.Add(10 * time.Millisecond)
	if !at.Before(c.Request.Deadline) {
		return retry.Decision{Action: retry.GiveUp, Refusal: c.Attempts[len(c.Attempts)-1].Refusal}
	}
	return retry.Decision{Action: retry.RetryLater, At: at}
}

// upstreamModel is a set of hosts with limited capacity. An attempt costs work
// even if it is refused, as parsing and queueing do. A host that is down loses
// every attempt that reaches it.
type upstreamModel struct {
	hosts int
	// runWork and refuseWork are the work of an answer and of a refusal, in
	// seconds.
	runWork, refuseWork float64
	// down reports whether a host loses the attempts that reach it at a time.
	// They fail after holdTime.
	down     func(host int, at time.Time) bool
	holdTime time.Duration
	// busyUntil is when each host finishes its present work.
	busyUntil []time.Time
}

// attempt returns when the attempt ends and its refusal, or nil if it succeeds.
func (u *upstreamModel) attempt(now time.Time, host int, r *rand.Rand) (time.Time, *core.Refusal) {
	if u.down(host, now) {
		return now.Add(u.holdTime), core.Refuse(core.CodeUpstreamLost, "")
	}
	if u.busyUntil[host].Before(now) {
		u.busyUntil[host] = now
	}
	work, ref := u.runWork*2*r.Float64(), (*core.Refusal)(nil)
	if u.busyUntil[host].Sub(now) > 300*time.Millisecond {
		work, ref = u.refuseWork, core.Refuse(core.CodeQueueFull, "")
	}
	u.busyUntil[host] = u.busyUntil[host].Add(time.Duration(work * float64(time.Second)))
	if ref != nil {
		return now.Add(5 * time.Millisecond), ref
	}
	return u.busyUntil[host], nil
}

// totals counts the outcomes of the requests and the attempts made for them.
type totals struct{ sent, good, late, refused, attempts int }

type simulation struct {
	upstream *upstreamModel
	policy   policy
	rng      *rand.Rand
	events   eventq.Queue[func(now time.Time)]
	totals   totals
}

func run(pol policy, upstream *upstreamModel, rate func(time.Time) float64, span time.Duration) totals {
	upstream.busyUntil = make([]time.Time, upstream.hosts)
	p := &simulation{upstream: upstream, policy: pol, rng: rand.New(rand.NewPCG(3, 3))}
	for at := t0; at.Sub(t0) < span; {
		at = at.Add(time.Duration(p.rng.ExpFloat64() / rate(at) * float64(time.Second)))
		c := failedCase("", core.NotRun)
		c.Attempts = nil
		c.Request.ID = core.RequestID(fmt.Sprint(at))
		c.Request.Arrived, c.Request.Deadline = at, at.Add(time.Second)
		p.events.Push(at, func(now time.Time) {
			p.totals.sent++
			p.policy.recordFirst("qalam")
			p.try(now, c, p.rng.IntN(upstream.hosts))
		})
	}
	for p.events.Len() > 0 {
		now, do := p.events.Pop()
		do(now)
	}
	return p.totals
}

func (p *simulation) try(now time.Time, c retry.Case, host int) {
	p.totals.attempts++
	end, ref := p.upstream.attempt(now, host, p.rng)
	p.events.Push(end, func(now time.Time) {
		if ref == nil {
			p.answer(now, c)
			return
		}
		c.Attempts = append(c.Attempts, retry.Attempt{Refusal: ref})
		c.HostsLeft = max(0, p.upstream.hosts-len(c.Attempts))
		p.retryOrStop(now, c, (host+1)%p.upstream.hosts)
	})
}

func (p *simulation) answer(now time.Time, c retry.Case) {
	if now.After(c.Request.Deadline) {
		p.totals.late++
		return
	}
	p.totals.good++
}

func (p *simulation) retryOrStop(now time.Time, c retry.Case, host int) {
	d := p.policy.decide(now, c, p.rng)
	switch d.Action {
	case retry.GiveUp:
		p.totals.refused++
	case retry.RetryNow:
		p.try(now, c, host)
	case retry.RetryLater:
		p.events.Push(d.At, func(now time.Time) { p.try(now, c, host) })
	}
}

func healthy(int, time.Time) bool { return false }

func steady(rate float64) func(time.Time) float64 {
	return func(time.Time) float64 { return rate }
}

// Four hosts that each answer 50 requests a second get 600 in total. Naive
// policies retry all refused requests until their deadlines, and refusing them
// takes the time in which the hosts could have answered, so goodput falls to a
// fraction.
func TestSaturation(t *testing.T) {
	fleet := func() *upstreamModel {
		return &upstreamModel{hosts: 4, runWork: 0.02, refuseWork: 0.0005, down: healthy}
	}
	at1 := run(&budgetPolicy{}, fleet(), steady(200), time.Minute)
	at3 := run(&budgetPolicy{}, fleet(), steady(600), time.Minute)
	naive := run(naivePolicy{}, fleet(), steady(600), 3*time.Second)
	t.Logf("1x %+v", at1)
	t.Logf("3x %+v", at3)
	t.Logf("3x naive %+v", naive)
	assert.Assert(t, float64(at3.good) >= 0.95*float64(at1.good))
	assert.Assert(t, float64(naive.good) < 0.8*float64(at1.good)/20, "3 s are a twentieth")
	assert.Assert(t, float64(at3.attempts) <= 1.11*float64(at3.sent))
}

// One host of ten loses every request for half a minute, either at once or
// after holding it for a while. Another host serves what may be retried. Few
// callers should notice, and requests must not be retried too late to end in
// time.
func TestBrokenHost(t *testing.T) {
	for _, holdTime := range []time.Duration{time.Millisecond, 400 * time.Millisecond} {
		t.Run(holdTime.String(), func(t *testing.T) {
			u := &upstreamModel{hosts: 10, runWork: 0.02, refuseWork: 0.0005, holdTime: holdTime, down: func(host int, at time.Time) bool {
				return host == 1 && at.Sub(t0) > 10*time.Second && at.Sub(t0) < 40*time.Second
			}}
			s := run(&budgetPolicy{}, u, steady(250), time.Minute)
			t.Logf("%+v", s)
			assert.Assert(t, s.good*1000 >= s.sent*990)
		})
	}
}

// After a burst of one second the load is about three quarters of the capacity
// of the hosts. Naive retries keep the hosts busy with refusals long after the
// burst.
func TestBurstPasses(t *testing.T) {
	rate := func(at time.Time) float64 {
		if s := at.Sub(t0); s > 2*time.Second && s < 3*time.Second {
			return 2000
		}
		return 150
	}
	fleet := func() *upstreamModel {
		return &upstreamModel{hosts: 4, runWork: 0.02, refuseWork: 0.001, down: healthy}
	}
	budgeted := run(&budgetPolicy{}, fleet(), rate, 8*time.Second)
	naive := run(naivePolicy{}, fleet(), rate, 8*time.Second)
	t.Logf("%+v", budgeted)
	t.Logf("naive %+v", naive)
	assert.Assert(t, budgeted.good > naive.good)
	assert.Assert(t, naive.attempts > 3*budgeted.attempts)
}

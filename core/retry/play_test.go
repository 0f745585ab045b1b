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

// decider is what is under test: the budgets or the naive retries.
type decider interface {
	first(set core.ServiceName)
	decide(now time.Time, c retry.Case, r *rand.Rand) retry.Decision
}

type budgeted struct{ b retry.Budgets }

func (b *budgeted) first(set core.ServiceName) { b.b.First(set) }
func (b *budgeted) decide(now time.Time, c retry.Case, r *rand.Rand) retry.Decision {
	return b.b.Decide(now, c, r)
}

// stubborn tries again at once, everywhere, until the deadline.
type stubborn struct{}

func (stubborn) first(core.ServiceName) {}
func (stubborn) decide(now time.Time, c retry.Case, _ *rand.Rand) retry.Decision {
	at := now.Add(10 * time.Millisecond)
	if !at.Before(c.Request.Deadline) {
		return retry.Decision{Action: retry.GiveUp, Refusal: c.Attempts[len(c.Attempts)-1].Refusal}
	}
	return retry.Decision{Action: retry.Later, At: at}
}

// upstream is hosts that each get through some work a second. An attempt costs
// work even when it is refused, as parsing and queueing do; a host that is down
// loses all that reaches it.
type upstream struct {
	hosts int
	// run and refuse are the work of an answer and of a refusal, in seconds.
	run, refuse float64
	// down tells when a host loses what reaches it, after it was held for a while.
	down func(host int, at time.Time) bool
	held time.Duration
	// busy is until when each host has work.
	busy []time.Time
}

// attempt returns when the attempt ends and how.
func (u *upstream) attempt(now time.Time, host int, r *rand.Rand) (time.Time, *core.Refusal) {
	if u.down(host, now) {
		return now.Add(u.held), core.Refuse(core.CodeUpstreamLost, "")
	}
	if u.busy[host].Before(now) {
		u.busy[host] = now
	}
	work, ref := u.run*2*r.Float64(), (*core.Refusal)(nil)
	if u.busy[host].Sub(now) > 300*time.Millisecond {
		work, ref = u.refuse, core.Refuse(core.CodeQueueFull, "")
	}
	u.busy[host] = u.busy[host].Add(time.Duration(work * float64(time.Second)))
	if ref != nil {
		return now.Add(5 * time.Millisecond), ref
	}
	return u.busy[host], nil
}

// sum is what callers got and what it took.
type sum struct{ sent, good, late, refused, attempts int }

type play struct {
	up    *upstream
	by    decider
	rng   *rand.Rand
	steps eventq.Queue[func(now time.Time)]
	sum   sum
}

func run(by decider, up *upstream, perSecond func(time.Time) float64, span time.Duration) sum {
	up.busy = make([]time.Time, up.hosts)
	p := &play{up: up, by: by, rng: rand.New(rand.NewPCG(3, 3))}
	for at := t0; at.Sub(t0) < span; {
		at = at.Add(time.Duration(p.rng.ExpFloat64() / perSecond(at) * float64(time.Second)))
		c := failed("", core.NotRun)
		c.Attempts = nil
		c.Request.ID = core.RequestID(fmt.Sprint(at))
		c.Request.Arrived, c.Request.Deadline = at, at.Add(time.Second)
		p.steps.Push(at, func(now time.Time) {
			p.sum.sent++
			p.by.first("qalam")
			p.try(now, c, p.rng.IntN(up.hosts))
		})
	}
	for p.steps.Len() > 0 {
		now, do := p.steps.Pop()
		do(now)
	}
	return p.sum
}

func (p *play) try(now time.Time, c retry.Case, host int) {
	p.sum.attempts++
	end, ref := p.up.attempt(now, host, p.rng)
	p.steps.Push(end, func(now time.Time) {
		if ref == nil {
			p.answer(now, c)
			return
		}
		c.Attempts = append(c.Attempts, retry.Attempt{Refusal: ref})
		c.HostsLeft = max(0, p.up.hosts-len(c.Attempts))
		p.again(now, c, (host+1)%p.up.hosts)
	})
}

func (p *play) answer(now time.Time, c retry.Case) {
	if now.After(c.Request.Deadline) {
		p.sum.late++
		return
	}
	p.sum.good++
}

func (p *play) again(now time.Time, c retry.Case, host int) {
	d := p.by.decide(now, c, p.rng)
	switch d.Action {
	case retry.GiveUp:
		p.sum.refused++
	case retry.Again:
		p.try(now, c, host)
	case retry.Later:
		p.steps.Push(d.At, func(now time.Time) { p.try(now, c, host) })
	}
}

func healthy(int, time.Time) bool { return false }

func steady(perSecond float64) func(time.Time) float64 {
	return func(time.Time) float64 { return perSecond }
}

// Four hosts that each answer 50 requests a second get 600. Naive retries ask
// all of them again until the deadlines, and refusing takes the time in which
// the hosts would have answered: goodput falls to a fraction.
func TestSaturation(t *testing.T) {
	fleet := func() *upstream { return &upstream{hosts: 4, run: 0.02, refuse: 0.0005, down: healthy} }
	at1 := run(&budgeted{}, fleet(), steady(200), time.Minute)
	at3 := run(&budgeted{}, fleet(), steady(600), time.Minute)
	naive := run(stubborn{}, fleet(), steady(600), 3*time.Second)
	t.Logf("1x %+v", at1)
	t.Logf("3x %+v", at3)
	t.Logf("3x naive %+v", naive)
	assert.Assert(t, float64(at3.good) >= 0.95*float64(at1.good))
	assert.Assert(t, float64(naive.good) < 0.8*float64(at1.good)/20, "3 s are a twentieth")
	assert.Assert(t, float64(at3.attempts) <= 1.11*float64(at3.sent))
}

// One host of ten loses everything for half a minute, at once or only after
// holding it for a while. Another serves what may be repeated; callers should
// hardly notice, and long requests are not begun anew too late to end.
func TestBrokenHost(t *testing.T) {
	for _, held := range []time.Duration{time.Millisecond, 400 * time.Millisecond} {
		t.Run(held.String(), func(t *testing.T) {
			u := &upstream{hosts: 10, run: 0.02, refuse: 0.0005, held: held, down: func(host int, at time.Time) bool {
				return host == 1 && at.Sub(t0) > 10*time.Second && at.Sub(t0) < 40*time.Second
			}}
			s := run(&budgeted{}, u, steady(250), time.Minute)
			t.Logf("%+v", s)
			assert.Assert(t, s.good*1000 >= s.sent*990)
		})
	}
}

// After a burst of a second the load is half of what the hosts bear. Naive
// retries keep the hosts busy with refusals long after the burst.
func TestBurstPasses(t *testing.T) {
	rate := func(at time.Time) float64 {
		if s := at.Sub(t0); s > 2*time.Second && s < 3*time.Second {
			return 2000
		}
		return 150
	}
	fleet := func() *upstream { return &upstream{hosts: 4, run: 0.02, refuse: 0.001, down: healthy} }
	f := run(&budgeted{}, fleet(), rate, 8*time.Second)
	n := run(stubborn{}, fleet(), rate, 8*time.Second)
	t.Logf("%+v", f)
	t.Logf("naive %+v", n)
	assert.Assert(t, f.good > n.good)
	assert.Assert(t, n.attempts > 3*f.attempts)
}

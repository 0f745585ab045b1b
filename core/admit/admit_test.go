package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/admit"
)

var t0 = time.Date(2030, 1, 1, 20, 0, 0, 0, time.UTC)

func request(id, owner, caller string) core.Request {
	return core.Request{
		ID: core.RequestID(id), Owner: core.OwnerName(owner), Caller: core.CallerName(caller),
		Target:  core.Target{Service: "qalam", Model: "ledger"},
		Arrived: t0, Deadline: t0.Add(time.Hour), Size: 100,
	}
}

func wantRefusal(t *testing.T, ref *core.Refusal, code core.Code) *core.Refusal {
	t.Helper()
	assert.Assert(t, ref != nil, "admitted, want %s", code)
	assert.Equal(t, ref.Code, code)
	assert.Equal(t, ref.Outcome, core.NotRun)
	return ref
}

func wantAdmitted(t *testing.T, a *admit.Limiter, now time.Time, b admit.Bounds, ids ...string) {
	t.Helper()
	for _, id := range ids {
		ref := a.Offer(now, request(id, "daftar", "k"), b)
		assert.Assert(t, ref == nil, "%s: %v", id, ref)
	}
}

func TestRate(t *testing.T) {
	b := admit.Bounds{Owner: core.Limits{Rate: 2, Burst: 3}}
	t.Run("a burst, then one at the time in the refusal", func(t *testing.T) {
		a := &admit.Limiter{}
		wantAdmitted(t, a, t0, b, "1", "2", "3")
		ref := wantRefusal(t, a.Offer(t0, request("4", "daftar", "k"), b), core.CodeRateLimit)
		early := ref.RetryAt.Add(-10 * time.Millisecond)
		wantRefusal(t, a.Offer(early, request("4", "daftar", "k"), b), core.CodeRateLimit)
		wantAdmitted(t, a, ref.RetryAt, b, "4")
	})
	t.Run("refused requests use up nothing", func(t *testing.T) {
		a := &admit.Limiter{}
		wantAdmitted(t, a, t0, b, "1", "2", "3")
		for range 100 {
			wantRefusal(t, a.Offer(t0, request("x", "daftar", "k"), b), core.CodeRateLimit)
		}
		wantAdmitted(t, a, t0.Add(501*time.Millisecond), b, "4")
	})
	t.Run("a changed limit gives no new burst", func(t *testing.T) {
		a := &admit.Limiter{}
		wantAdmitted(t, a, t0, b, "1", "2", "3")
		b := admit.Bounds{Owner: core.Limits{Rate: 2, Burst: 4}}
		wantRefusal(t, a.Offer(t0, request("4", "daftar", "k"), b), core.CodeRateLimit)
	})
	t.Run("finished requests give no new burst", func(t *testing.T) {
		a := &admit.Limiter{}
		for i := range 3 {
			id := fmt.Sprint(i)
			wantAdmitted(t, a, t0, b, id)
			a.Done(t0, core.RequestID(id))
		}
		wantRefusal(t, a.Offer(t0, request("4", "daftar", "k"), b), core.CodeRateLimit)
	})
	t.Run("the refusal gives the time of the limit that lasts longest", func(t *testing.T) {
		a := &admit.Limiter{}
		b := admit.Bounds{Owner: core.Limits{Rate: 100, Burst: 1}, Caller: core.Limits{Rate: 0.1, Burst: 1}}
		wantAdmitted(t, a, t0, b, "1")
		ref := wantRefusal(t, a.Offer(t0, request("2", "daftar", "k"), b), core.CodeRateLimit)
		assert.Assert(t, ref.RetryAt.Sub(t0) > 9*time.Second)
	})
}

func TestQueueLimits(t *testing.T) {
	t.Run("count", func(t *testing.T) {
		a := &admit.Limiter{}
		b := admit.Bounds{Target: core.Limits{Queue: 2}}
		wantAdmitted(t, a, t0, b, "1", "2")
		wantRefusal(t, a.Offer(t0, request("3", "daftar", "k"), b), core.CodeQueueFull)
		assert.Assert(t, a.Start(t0, "1"))
		wantAdmitted(t, a, t0, b, "3")
	})
	t.Run("bytes, but one large request alone passes", func(t *testing.T) {
		a := &admit.Limiter{}
		b := admit.Bounds{Service: core.Limits{QueueBytes: 150}}
		big := request("big", "daftar", "k")
		big.Size = 1000
		assert.Assert(t, a.Offer(t0, big, b) == nil)
		wantRefusal(t, a.Offer(t0, request("1", "daftar", "k"), b), core.CodeQueueFull)
		assert.Assert(t, a.Done(t0, "big"))
		wantAdmitted(t, a, t0, b, "1")
		wantRefusal(t, a.Offer(t0, request("2", "daftar", "k"), b), core.CodeQueueFull)
	})
}

func TestConcurrency(t *testing.T) {
	b := admit.Bounds{Caller: core.Limits{Concurrency: 1}}
	t.Run("starts one at a time", func(t *testing.T) {
		a := &admit.Limiter{}
		wantAdmitted(t, a, t0, b, "1", "2")
		assert.Assert(t, a.CanStart("1") && a.Start(t0, "1"))
		assert.Assert(t, !a.CanStart("2"))
		assert.Assert(t, !a.Start(t0, "1"), "a request was started twice")
		assert.Assert(t, a.Done(t0, "1") && !a.Done(t0, "1"))
		assert.Assert(t, a.CanStart("2"))
	})
	t.Run("callers of other owners do not share it", func(t *testing.T) {
		a := &admit.Limiter{}
		wantAdmitted(t, a, t0, b, "1")
		assert.Assert(t, a.Start(t0, "1"))
		assert.Assert(t, a.Offer(t0, request("2", "fasade", "k"), b) == nil)
		assert.Assert(t, a.CanStart("2"))
	})
	t.Run("reports the widest limit that blocks a start", func(t *testing.T) {
		a := &admit.Limiter{}
		b := admit.Bounds{Caller: core.Limits{Concurrency: 1}, Target: core.Limits{Concurrency: 2}}
		wantAdmitted(t, a, t0, b, "1", "2")
		a.Start(t0, "1")
		scope, held := a.Blocked("2")
		assert.Assert(t, held && scope == admit.Caller)
		assert.Assert(t, a.Offer(t0, request("3", "fasade", "k"), b) == nil && a.Start(t0, "3"))
		scope, held = a.Blocked("2")
		assert.Assert(t, held && scope == admit.Target)
		a.Done(t0, "1")
		_, held = a.Blocked("2")
		assert.Assert(t, !held)
	})
	t.Run("refused when the backlog outlasts the deadline", func(t *testing.T) {
		a := &admit.Limiter{}
		wantAdmitted(t, a, t0, b, "1", "2", "3")
		a.Start(t0, "1")
		now := t0.Add(10 * time.Second)
		a.Done(now, "1")
		a.Start(now, "2")
		r := request("4", "daftar", "k")
		r.Deadline = now.Add(25 * time.Second)
		ref := wantRefusal(t, a.Offer(now, r, b), core.CodeConcurrency)
		assert.Equal(t, ref.RetryAt, now.Add(7500*time.Millisecond), "20 s and an eighth to start, 10 s to run")
		r.Deadline = now.Add(33 * time.Second)
		assert.Assert(t, a.Offer(now, r, b) == nil)
	})
}

// Three entries enforce the limits of one owner without communicating. Together
// they must not admit more than the limit, or one request per entry if that is
// more, and no entry may be left without a share.
func TestShares(t *testing.T) {
	for _, c := range []struct{ limit, entries, want int }{
		{10, 3, 10}, {9, 3, 9}, {1, 3, 3}, {2, 400, 400}, {1000, 400, 1000}, {5, 1, 5},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			total := 0
			for rank := range c.entries {
				a := &admit.Limiter{}
				b := admit.Bounds{Owner: core.Limits{Queue: c.limit}, Share: admit.Share{Entries: c.entries, Rank: rank}}
				for i := 0; a.Offer(t0, request(fmt.Sprint(i), "daftar", "k"), b) == nil; i++ {
					total++
				}
			}
			assert.Equal(t, total, c.want)
		})
	}
	t.Run("rate over ten seconds", func(t *testing.T) {
		total := 0
		for rank := range 3 {
			a := &admit.Limiter{}
			b := admit.Bounds{Owner: core.Limits{Rate: 10, Burst: 4}, Share: admit.Share{Entries: 3, Rank: rank}}
			for ms := range 10_000 {
				if a.Offer(t0.Add(time.Duration(ms)*time.Millisecond), request(fmt.Sprint(ms), "daftar", "k"), b) == nil {
					total++
				}
			}
		}
		assert.Assert(t, total <= 104 && total >= 95, "%d", total)
	})
}

// Names that are no longer in use must not stay in memory. Otherwise a scan
// over many callers would grow an entry without bound.
func TestUnusedNamesAreRemoved(t *testing.T) {
	a := &admit.Limiter{}
	b := admit.Bounds{Caller: core.Limits{Rate: 1, Burst: 2}}
	now := t0
	for i := range 3000 {
		id := fmt.Sprint(i)
		now = now.Add(10 * time.Millisecond)
		assert.Assert(t, a.Offer(now, request(id, "daftar", "caller-"+id), b) == nil)
		a.Done(now, core.RequestID(id))
	}
	assert.Assert(t, admit.Records(a) < 500, "%d records", admit.Records(a))
}

// For any order of calls the counts equal those of a plain recount, and no request
// is counted at the end.
func TestCounts(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 2))
		a := &admit.Limiter{}
		state := make(map[string]int)
		now := t0
		b := admit.Bounds{
			Owner:  core.Limits{Rate: 50, Queue: 6, Concurrency: 3},
			Target: core.Limits{QueueBytes: 900, Concurrency: 4},
		}
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
			id := fmt.Sprint(rng.IntN(20))
			step(a, rng.IntN(3), now, id, state, b)
			recount(t, a, state)
		}
		for id := range state {
			a.Done(now, core.RequestID(id))
		}
		assert.Equal(t, a.Len(), 0)
		assert.Equal(t, a.Use(admit.Owner, "", "daftar").Waiting, 0)
	}
}

const (
	waiting = iota + 1
	running
)

func step(a *admit.Limiter, kind int, now time.Time, id string, state map[string]int, b admit.Bounds) {
	switch kind {
	case 0:
		if state[id] == 0 && a.Offer(now, request(id, "daftar", "k"), b) == nil {
			state[id] = waiting
		}
	case 1:
		if a.CanStart(core.RequestID(id)) && a.Start(now, core.RequestID(id)) {
			state[id] = running
		}
	case 2:
		a.Done(now, core.RequestID(id))
		delete(state, id)
	}
}

func recount(t *testing.T, a *admit.Limiter, state map[string]int) {
	t.Helper()
	var w, r int
	for _, s := range state {
		if s == waiting {
			w++
		} else if s == running {
			r++
		}
	}
	use := a.Use(admit.Owner, "", "daftar")
	assert.Equal(t, use.Waiting, w)
	assert.Equal(t, use.Running, r)
	assert.Equal(t, use.Bytes, core.Bytes(100*w))
	assert.Assert(t, w <= 6 && r <= 3)
}

func BenchmarkOffer(b *testing.B) {
	a := &admit.Limiter{}
	bounds := admit.Bounds{
		Owner: core.Limits{Rate: 1e9, Burst: 1e9, Queue: 100}, Caller: core.Limits{Concurrency: 100},
		Target: core.Limits{QueueBytes: core.GiB}, Service: core.Limits{Queue: 1000},
		Share: admit.Share{Entries: 3},
	}
	r := request("1", "daftar", "k")
	b.ReportAllocs()
	for b.Loop() {
		a.Offer(t0, r, bounds)
		a.Start(t0, r.ID)
		a.Done(t0, r.ID)
	}
}

func BenchmarkRefuse(b *testing.B) {
	a := &admit.Limiter{}
	bounds := admit.Bounds{Owner: core.Limits{Queue: 1}}
	a.Offer(t0, request("1", "daftar", "k"), bounds)
	r := request("2", "daftar", "k")
	b.ReportAllocs()
	for b.Loop() {
		a.Offer(t0, r, bounds)
	}
}

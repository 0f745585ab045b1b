package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/lease"
)

var start = time.Date(2026, 1, 1, 20, 0, 0, 0, time.UTC)

// store is the lease object in a fake platform.
type store struct {
	object  core.Object
	version core.Version
}

func refused(f core.PlatformFault) lease.Reply { return lease.Reply{Failed: true, Fault: f} }

func (s *store) do(a lease.Action) lease.Reply {
	switch {
	case a.Call != lease.Create && s.object.Version == 0:
		return refused(core.NotFound)
	case a.Call == lease.Read:
		return lease.Reply{Object: s.object}
	case a.Call == lease.Create && s.object.Version != 0:
		return refused(core.Exists)
	case a.Call == lease.Update && a.Object.Version != s.object.Version:
		return refused(core.Conflict)
	}
	s.version++
	s.object = a.Object
	s.object.Version = s.version
	return lease.Reply{Object: s.object}
}

func (s *store) delete() {
	s.version++
	s.object = core.Object{}
}

func contender(host core.HostName) *lease.Lease {
	return &lease.Lease{Host: host, Incarnation: core.Incarnation(len(host))}
}

// drive lets l act at now until it has nothing to do.
func drive(l *lease.Lease, s *store, now time.Time) {
	for range 5 {
		a, _ := l.Next(now)
		if a.Call == lease.None {
			return
		}
		l.Answer(now, s.do(a))
	}
}

// pass drives each contender once a second.
func pass(s *store, from time.Time, seconds int, list ...*lease.Lease) time.Time {
	for range seconds {
		from = from.Add(time.Second)
		for _, l := range list {
			drive(l, s, from)
		}
	}
	return from
}

func decides(t *testing.T, l *lease.Lease, now time.Time, want bool) core.Fence {
	t.Helper()
	f, ok := l.Decides(now)
	assert.Equal(t, ok, want)
	return f
}

func TestFirstStart(t *testing.T) {
	t.Run("waits for a holder it may not know of", func(t *testing.T) {
		s, l := &store{}, contender("d1")
		now := pass(s, start, 11, l)
		decides(t, l, now, false)
		now = pass(s, now, 5, l)
		decides(t, l, now, true)
	})
	t.Run("takes the lease at once where no grants exist", func(t *testing.T) {
		s, l := &store{}, contender("d1")
		l.Blank = true
		now := pass(s, start, 1, l)
		decides(t, l, now, true)
		assert.Equal(t, l.Holder(), core.HostName("d1"))
	})
}

func TestTakeover(t *testing.T) {
	s, a, b := &store{}, contender("d1"), contender("d20")
	now := pass(s, start, 20, a)
	first := decides(t, a, now, true)
	t.Run("no one else decides while it is renewed", func(t *testing.T) {
		now = pass(s, now, 60, a, b)
		decides(t, a, now, true)
		decides(t, b, now, false)
	})
	t.Run("the next holder has a larger number", func(t *testing.T) {
		// Up to a term until it looks again, and a term from then.
		now = pass(s, now, 30, b)
		assert.Assert(t, decides(t, b, now, true) > first)
		decides(t, a, now, false)
	})
	t.Run("the old holder finds out", func(t *testing.T) {
		now = pass(s, now, 2, a, b)
		decides(t, a, now, false)
		assert.Equal(t, a.Holder(), core.HostName("d20"))
	})
	t.Run("a holder that steps down is followed within seconds", func(t *testing.T) {
		o, held := b.StepDown()
		assert.Assert(t, held)
		s.do(lease.Action{Call: lease.Update, Object: o})
		decides(t, b, now, false)
		a.Seen(now, s.object)
		now = pass(s, now, 3, a)
		assert.Assert(t, decides(t, a, now, true) > first)
	})
}

// An operator deletes the lease by hand. The holder's next renewal finds
// nothing, so it stops; whoever decides next has a larger number than before,
// though the object's own record of it is gone.
func TestDeletedByHand(t *testing.T) {
	s, a := &store{}, contender("d1")
	now := pass(s, start, 20, a)
	first := decides(t, a, now, true)
	s.delete()
	now = pass(s, now, 5, a)
	decides(t, a, now, false)
	b := contender("d20")
	now = pass(s, now, 20, b)
	assert.Assert(t, decides(t, b, now, true) > first)
}

// The lease is deleted by hand. A contender's creation is long on its way;
// meanwhile another's arrives, decides, and is deleted by hand as well. The late
// creation then takes effect. Its sender must wait for the other to stop.
func TestLateCreation(t *testing.T) {
	s, a, b := &store{}, contender("d1"), contender("d20")
	late := lease.Action{}
	now := start
	for late.Call != lease.Create {
		now = now.Add(time.Second)
		late, _ = a.Next(now)
		if late.Call == lease.Read {
			a.Answer(now, s.do(late))
		}
	}
	now = pass(s, now, 60, b)
	decides(t, b, now, true)
	s.delete()
	a.Answer(now, s.do(late))
	for range 20 {
		now = now.Add(time.Second)
		drive(a, s, now)
		_, first := a.Decides(now)
		_, second := b.Decides(now)
		assert.Assert(t, !first || !second)
	}
	decides(t, a, now, true)
}

// The platform is restored from an old copy and its versions start again. The
// next holder's number is still above those it has met in grants.
func TestVersionsSetBack(t *testing.T) {
	s, l := &store{}, contender("d1")
	l.Observe(900)
	now := pass(s, start, 20, l)
	assert.Equal(t, decides(t, l, now, true), core.Fence(901))
}

// The platform applies a write whose answer is lost. The process must find that
// it holds the lease by reading back, but not decide before a write of its own
// has been answered: it doesn't know how old the applied one is.
func TestLostAnswer(t *testing.T) {
	s, l := &store{}, contender("d1")
	l.Blank = true
	now := start
	a, _ := l.Next(now)
	l.Answer(now, s.do(a))
	a, _ = l.Next(now)
	assert.Equal(t, a.Call, lease.Create)
	s.do(a)
	l.Answer(now, refused(core.Unknown))
	now = now.Add(lease.Retry)
	a, _ = l.Next(now)
	assert.Equal(t, a.Call, lease.Read)
	l.Answer(now, s.do(a))
	assert.Equal(t, l.Holder(), core.HostName("d1"))
	decides(t, l, now, false)
	drive(l, s, now)
	decides(t, l, now, true)
	assert.Equal(t, s.version, core.Version(2))
}

// The platform is down for longer than the term. The holder stops deciding when
// its term ends, and goes on under the same number if nobody has followed.
func TestOutage(t *testing.T) {
	s, l := &store{}, contender("d1")
	now := pass(s, start, 20, l)
	first := decides(t, l, now, true)
	for range 60 {
		now = now.Add(time.Second)
		if a, _ := l.Next(now); a.Call != lease.None {
			l.Answer(now, refused(core.Unavailable))
		}
	}
	decides(t, l, now, false)
	now = pass(s, now, 5, l)
	assert.Equal(t, decides(t, l, now, true), first)
}

// A malformed lease, edited by hand, counts as somebody's until it has stood
// still for a term.
func TestMalformed(t *testing.T) {
	s, l := &store{}, contender("d1")
	s.do(lease.Action{Call: lease.Create, Object: core.Object{Spec: []byte("{")}})
	now := pass(s, start, 10, l)
	decides(t, l, now, false)
	now = pass(s, now, 10, l)
	decides(t, l, now, true)
	_, err := lease.Parse(core.Object{Spec: []byte("{")})
	var bad *lease.SpecError
	assert.Assert(t, errorAs(err, &bad))
}

func errorAs(err error, to **lease.SpecError) bool {
	e, ok := err.(*lease.SpecError)
	*to = e
	return ok
}

// The holder's clock is slow and it stops renewing; contenders' clocks are fast
// and look at every moment. With rates that differ by a fifth and any delays of
// messages, its term by its own clock ends before the first of them takes over.
func TestClockRates(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 7))
		s, a, b := &store{}, contender("d1"), contender("d20")
		slow := func(real time.Duration) time.Time { return start.Add(real * 10 / 11) }
		fast := func(real time.Duration) time.Time { return start.Add(real * 12 / 11) }
		real := time.Duration(0)
		stop := 30*time.Second + time.Duration(r.Int64N(int64(10*time.Second)))
		for ; real < 2*time.Minute; real += time.Duration(r.Int64N(int64(200 * time.Millisecond))) {
			if real < stop {
				drive(a, s, slow(real))
				b.Seen(fast(real), s.object)
			}
			drive(b, s, fast(real))
			_, first := a.Decides(slow(real))
			_, second := b.Decides(fast(real))
			assert.Assert(t, !first || !second, "seed %d: both decide after %s", seed, real)
		}
		_, ok := b.Decides(fast(real))
		assert.Assert(t, ok, "seed %d: nobody followed", seed)
	}
}

// Four hundred entries contend while the holder renews: what the lease costs
// the platform must not grow beyond a read each in a term.
func TestCalls(t *testing.T) {
	s, holder := &store{}, contender("d1")
	now := pass(s, start, 20, holder)
	var others []*lease.Lease
	for i := range 400 {
		l := contender("d1")
		l.Incarnation = core.Incarnation(1000 + i)
		l.Host = core.HostName("e" + string(rune('0'+i/100)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10)))
		others = append(others, l)
	}
	reads, writes := 0, 0
	const seconds = 120
	for range seconds {
		now = now.Add(time.Second)
		drive(holder, s, now)
		for _, l := range others {
			a, _ := l.Next(now)
			switch a.Call {
			case lease.None:
				continue
			case lease.Read:
				reads++
			default:
				writes++
			}
			l.Answer(now, s.do(a))
		}
	}
	t.Logf("%.1f reads and %.1f writes a second", float64(reads)/seconds, float64(writes)/seconds)
	assert.Equal(t, writes, 0)
	assert.Assert(t, reads <= 400*(seconds/12+1))
}

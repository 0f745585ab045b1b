package quota_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/admit"
	"radishwell/core/follow"
	"radishwell/io/events"
	"radishwell/io/peer"
	"radishwell/io/quota"
	"radishwell/wire"
)

func TestMain(m *testing.M) {
	events.Discard()
	m.Run()
}

// stepClock is a clock that only tests advance.
type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

// fleet is a set of entries that call each other directly.
type fleet struct {
	clock   stepClock
	members []follow.Member
	quotas  map[core.HostName]*quota.Quota
	// down are the entries that can neither call others nor be called.
	down map[core.HostName]bool
}

// newFleet starts entries that count one customer with a hundred units a second.
func newFleet(t *testing.T, names ...core.HostName) *fleet {
	t.Helper()
	f := &fleet{clock: stepClock{now: time.Unix(1000, 0)}, quotas: map[core.HostName]*quota.Quota{}, down: map[core.HostName]bool{}}
	for i, name := range names {
		self := follow.Member{Name: name, Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
		f.members = append(f.members, self)
		q := &quota.Quota{
			Self: self, Clock: &f.clock, Tolerance: admit.Tolerance{Window: 8 * time.Second}, Ask: f.ask,
			Before:  func() ([]follow.Member, bool) { return f.members[:i], true },
			Entries: func() int { return len(names) }, Limited: func() bool { return true },
			Allowance: func(c core.OwnerName) (admit.Allowance, bool) {
				return admit.Allowance{Rate: 100, Burst: 100}, c == "c"
			},
		}
		q.Start()
		f.quotas[name] = q
	}
	return f
}

// DownError reports a call between entries of which one is down.
type DownError struct{ Host core.HostName }

func (e *DownError) Error() string { return string(e.Host) + " is down" }

func (f *fleet) ask(_ context.Context, to peer.Target, in *wire.AllowanceCall) (*wire.AllowanceReply, error) {
	if f.down[to.Host] || f.down[core.HostName(in.GetEntry())] {
		return nil, &DownError{Host: to.Host}
	}
	return f.quotas[to.Host].Serve(in)
}

// settle runs for long enough that all entries find their keeper and the allowance
// refills.
func (f *fleet) settle(ctx context.Context) {
	for range 30 {
		f.step(ctx)
	}
}

// step advances the clock and has all entries that are up renew.
func (f *fleet) step(ctx context.Context) {
	f.clock.now = f.clock.now.Add(100 * time.Millisecond)
	for _, m := range f.members {
		if !f.down[m.Name] {
			f.quotas[m.Name].Renew(ctx)
		}
	}
}

// take takes units at an entry one by one until one is refused, and returns how many it
// took.
func (f *fleet) take(ctx context.Context, name core.HostName) int {
	n := 0
	for n < 1000 && f.quotas[name].Take(ctx, "c", 1) == nil {
		n++
	}
	return n
}

func TestUseIsCountedTogether(t *testing.T) {
	f := newFleet(t, "e-1", "e-2", "e-3")
	f.settle(t.Context())
	assert.Equal(t, f.take(t.Context(), "e-3"), 100, "the whole burst at one entry")
	assert.Equal(t, f.take(t.Context(), "e-2"), 0)
	r := f.quotas["e-2"].Take(t.Context(), "c", 10)
	assert.Assert(t, r != nil && r.Code == core.CodeRateLimit)
	assert.Assert(t, r.RetryAt.Sub(f.clock.now).Round(10*time.Millisecond) == 100*time.Millisecond, r.RetryAt.Sub(f.clock.now))
}

// Guards against refusing customers at all entries, or granting their allowance twice,
// after the keeper has died.
func TestKeeperDies(t *testing.T) {
	f := newFleet(t, "e-1", "e-2", "e-3")
	f.settle(t.Context())
	f.down["e-1"] = true
	f.settle(t.Context())
	assert.Equal(t, f.take(t.Context(), "e-3"), 66, "two thirds: the keeper that is gone may still use its own third")
	assert.Equal(t, f.take(t.Context(), "e-2"), 0)
	f.down["e-1"] = false
	f.settle(t.Context())
	assert.Equal(t, f.take(t.Context(), "e-3"), 100)
}

// Guards against an entry that reaches no other but grants more than its own part.
func TestCutEntryHasItsOwnPart(t *testing.T) {
	f := newFleet(t, "e-1", "e-2", "e-3", "e-4")
	f.settle(t.Context())
	f.down["e-4"] = true
	f.settle(t.Context())
	f.down["e-4"] = false
	for _, m := range f.members[:3] {
		f.down[m.Name] = true
	}
	f.settle(t.Context())
	assert.Equal(t, f.take(t.Context(), "e-4"), 25)
}

// Guards against losing the units of requests that do not run.
func TestUnitsComeBack(t *testing.T) {
	f := newFleet(t, "e-1", "e-2")
	f.settle(t.Context())
	assert.Equal(t, f.take(t.Context(), "e-2"), 100)
	f.quotas["e-2"].Refund("c", 40)
	f.quotas["e-2"].Renew(t.Context())
	assert.Equal(t, f.take(t.Context(), "e-1"), 40)
}

// reservations returns how many reservations the entries get at an upstream within a
// second if all ask repeatedly.
func (f *fleet) reservations(ctx context.Context, rate float64, names ...core.HostName) int {
	n := 0
	for range 10 {
		f.step(ctx)
		for _, name := range names {
			if _, ok := f.quotas[name].Reserve(ctx, "u", rate, f.clock.now); ok {
				n++
			}
		}
	}
	return n
}

// Guards against entries that each apply the whole rate that an upstream names.
func TestRateIsSharedByEntries(t *testing.T) {
	f := newFleet(t, "e-1", "e-2", "e-3")
	f.settle(t.Context())
	f.reservations(t.Context(), 5, "e-1", "e-2", "e-3")
	assert.Equal(t, f.reservations(t.Context(), 5, "e-1", "e-2", "e-3"), 5)
	assert.Equal(t, f.reservations(t.Context(), 5, "e-3"), 5, "the whole rate at one entry")
	at, ok := f.quotas["e-2"].Reserve(t.Context(), "u", 5, f.clock.now)
	assert.Assert(t, !ok && at.Sub(f.clock.now).Round(10*time.Millisecond) == 200*time.Millisecond, at.Sub(f.clock.now))
	t.Run("a reservation that was released is free again", func(t *testing.T) {
		f.quotas["e-2"].Release("u", 5)
		f.quotas["e-2"].Renew(t.Context())
		_, ok := f.quotas["e-3"].Reserve(t.Context(), "u", 5, f.clock.now)
		assert.Assert(t, ok)
	})
	t.Run("an entry that reaches no other has its own part", func(t *testing.T) {
		f.down["e-3"] = true
		f.settle(t.Context())
		f.down["e-3"] = false
		f.down["e-1"], f.down["e-2"] = true, true
		f.settle(t.Context())
		f.reservations(t.Context(), 6, "e-3")
		assert.Equal(t, f.reservations(t.Context(), 6, "e-3"), 2)
	})
}

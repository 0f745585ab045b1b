package proxy

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/fleet"
	"radishwell/core/retry"
	"radishwell/core/rtable"
)

// stepClock is a clock that only tests advance.
type stepClock struct{ now time.Time }

func (c *stepClock) Now() time.Time { return c.now }

// A host and its agent freeze in the middle of a stream. The connection stays open and
// the registry still lists the host; the caller receives nothing and leaves after two
// seconds, and the host continues the stream when it resumes. Guards against streams
// that stay at such a host, and against moving others.
func TestSilentStreams(t *testing.T) {
	type rig struct {
		*Proxy
		clock *stepClock
		call  *call
		ctx   context.Context
	}
	retries := 10.0
	begin := func(t *testing.T, route rtable.Route, hosts ...core.HostName) *rig {
		t.Helper()
		r := &rig{clock: &stepClock{now: time.Unix(1000, 0)}}
		r.Proxy = &Proxy{Clock: r.clock, RetrySpare: retries, RetrySpan: 10 * time.Second}
		r.Start()
		for _, id := range hosts {
			r.view.Apply(fleet.Entry{ID: id, Service: "llm", Usable: true, Models: []core.HeldModel{{Model: "m"}}})
		}
		r.view.Report(fleet.Report{
			ID: "i-1", Taken: r.clock.now, Reachable: true, Models: []core.HeldModel{{Model: "m"}},
		})
		r.call = &call{
			proxy: r.Proxy, route: &route, query: fleet.Query{Service: "llm", Model: "m"},
			arrived: r.clock.now, deadline: r.clock.now.Add(route.Timeout),
		}
		var done func()
		r.ctx, done = r.watch(t.Context(), r.call, &target{id: "i-1", host: r.view.Host("i-1")})
		t.Cleanup(done)
		return r
	}
	moved := func(r *rig) bool {
		r.moveSilent()
		var silent *SilentError
		return errors.As(context.Cause(r.ctx), &silent)
	}
	resumable := rtable.Route{Kind: rtable.Stream, Resumable: true, MaxHosts: 2, Target: 300 * time.Millisecond, Pause: 200 * time.Millisecond}
	t.Run("move to another host", func(t *testing.T) {
		r := begin(t, resumable, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(900 * time.Millisecond)
		assert.Assert(t, !moved(r))
		r.clock.now = r.clock.now.Add(200 * time.Millisecond)
		assert.Assert(t, moved(r))
	})
	// overload makes i-2 a host that should answer after the route's target, but before
	// callers leave.
	overload := func(r *rig) {
		r.view.Report(fleet.Report{
			ID: "i-2", Taken: r.clock.now, Reachable: true, Models: []core.HeldModel{{Model: "m"}}, Reading: 20_000,
		})
	}
	t.Run("move to a host that answers late but before the caller leaves", func(t *testing.T) {
		patient := resumable
		patient.Timeout, patient.SilenceTimeout = time.Minute, 2*time.Second
		r := begin(t, patient, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(1100 * time.Millisecond)
		overload(r)
		assert.Assert(t, moved(r))
	})
	t.Run("stay where the caller would have left by then, or has events", func(t *testing.T) {
		patient := resumable
		patient.Timeout, patient.SilenceTimeout = time.Minute, 2*time.Second
		r := begin(t, patient, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(1600 * time.Millisecond)
		overload(r)
		assert.Assert(t, !moved(r))
		r = begin(t, patient, "i-1", "i-2")
		r.call.recordEvent()
		r.clock.now = r.clock.now.Add(1100 * time.Millisecond)
		overload(r)
		assert.Assert(t, !moved(r))
	})
	t.Run("stay while the agent reports", func(t *testing.T) {
		r := begin(t, resumable, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(1500 * time.Millisecond)
		r.view.Report(fleet.Report{ID: "i-1", Taken: r.clock.now, Reachable: true})
		assert.Assert(t, !moved(r))
	})
	t.Run("stay while events come", func(t *testing.T) {
		r := begin(t, resumable, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(1500 * time.Millisecond)
		r.call.recordEvent()
		assert.Assert(t, !moved(r))
	})
	t.Run("stay for twice the pause that callers accept", func(t *testing.T) {
		slow := resumable
		slow.Pause = time.Second
		r := begin(t, slow, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(1500 * time.Millisecond)
		assert.Assert(t, !moved(r))
	})
	t.Run("stay where no other host has the model", func(t *testing.T) {
		r := begin(t, resumable, "i-1")
		r.clock.now = r.clock.now.Add(1500 * time.Millisecond)
		assert.Assert(t, !moved(r))
	})
	t.Run("stay where they may not run again", func(t *testing.T) {
		once := resumable
		once.Resumable = false
		r := begin(t, once, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(1500 * time.Millisecond)
		assert.Assert(t, !moved(r))
	})
	t.Run("stay where the retry budget allows no further send", func(t *testing.T) {
		retries = 0
		r := begin(t, resumable, "i-1", "i-2")
		r.clock.now = r.clock.now.Add(1500 * time.Millisecond)
		assert.Assert(t, !moved(r))
	})
	t.Run("move as many as the retry budget allows", func(t *testing.T) {
		retries = 1
		r := begin(t, resumable, "i-1", "i-2")
		second, done := r.watch(t.Context(), r.call, &target{id: "i-1", host: r.view.Host("i-1")})
		t.Cleanup(done)
		r.clock.now = r.clock.now.Add(1500 * time.Millisecond)
		first := moved(r)
		assert.Equal(t, (second.Err() != nil), !first)
	})
}

// Guards against a retry that counts for ever since its host is gone for good, and against one that counts no
// longer although the registry lists its host, which stands still.
func TestOnlyUnlistedHostIsGivenUp(t *testing.T) {
	for _, listed := range []bool{false, true} {
		clock := &stepClock{now: time.Unix(1000, 0)}
		p := &Proxy{Clock: clock, RetrySpare: 1, RetrySpan: 10 * time.Second}
		p.Start()
		if listed {
			p.view.Apply(fleet.Entry{ID: "i-1", Service: "llm", Usable: true})
		}
		b := p.budget("llm")
		assert.Assert(t, b.window.Take(clock.now))
		b.held.Hold([]retry.Unread{{Host: "i-1", Ended: clock.now}})
		clock.now = clock.now.Add(goneTime - 1)
		assert.Equal(t, p.budget("llm").held.Len(), 1)
		clock.now = clock.now.Add(1)
		assert.Equal(t, p.budget("llm").held.Len() == 1, listed)
	}
}

// Guards against an entry that never retries again, since a host that its registry lists never answers.
func TestSilentHostKeepsGateClosedForATime(t *testing.T) {
	clock := &stepClock{now: time.Unix(1000, 0)}
	p := &Proxy{Clock: clock, RetrySpan: 10 * time.Second, SpareRetries: func(time.Time) float64 { return 3 }}
	p.Start()
	p.view.Apply(fleet.Entry{ID: "i-1", Service: "llm", Usable: true})
	left := func() float64 {
		p.updateSpare(clock.now, "llm")
		return p.budget("llm").window.InFlightLeft(clock.now)
	}
	assert.Equal(t, left(), 0.0)
	clock.now = clock.now.Add(goneTime - 1)
	assert.Equal(t, left(), 0.0)
	clock.now = clock.now.Add(1)
	assert.Equal(t, left(), 3.0)
}

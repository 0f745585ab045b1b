package copies_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/copies"
)

// slowHost returns a host whose engine has half of the usual speed.
func slowHost(id string, held []core.ModelName, disk ...core.ModelName) *copies.Host {
	h := host(id, held, disk...)
	h.Speed = 0.5
	return h
}

// TestBusyModelOnSlowHost: the only copy of a busy model stands on an engine of half the usual
// speed, which pauses the streams of its callers. Counted as one whole copy it would carry the
// load, and the callers would be late for as long as the demand lasts.
func TestBusyModelOnSlowHost(t *testing.T) {
	demand := func() map[core.ModelName]copies.Demand {
		return map[core.ModelName]copies.Demand{
			name(0): {Rate: 4, Hasty: 4, Work: 0.28}, name(1): {Rate: 1}, name(2): {Rate: 1}, name(3): {Rate: 1},
		}
	}
	t.Run("gets a copy on a quick host", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		hosts := []*copies.Host{slowHost("a", names(0, 1)), slowHost("b", names(2), name(0)), host("c", names(3), name(0))}
		wantMoves(t, p.Plan(t0, service(4), hosts, demand()), "c: m-00 for []")
	})
	t.Run("stays alone on a host of usual speed", func(t *testing.T) {
		p := &copies.Planner{Parallel: 4}
		hosts := []*copies.Host{host("a", names(0, 1)), host("b", names(2, 3), name(0))}
		wantMoves(t, p.Plan(t0, service(4), hosts, demand()))
	})
	t.Run("makes room on the slow host first", func(t *testing.T) {
		// Both copies carry the load. The other model's callers lose less by the slow one.
		p := &copies.Planner{Parallel: 4}
		d := demand()
		d[name(0)] = copies.Demand{Rate: 4, Hasty: 4, Work: 0.5}
		d[name(4)] = copies.Demand{Rate: 2, Waiting: 1}
		for i := 1; i < 4; i++ {
			d[name(i)] = copies.Demand{Rate: 3}
		}
		hosts := []*copies.Host{host("a", names(0, 1), name(4)), slowHost("b", names(0, 2), name(4)), host("c", names(0, 3), name(4))}
		wantMoves(t, p.Plan(t0, service(5), hosts, d), "b: m-04 for [m-00]")
	})
}

// TestSpeedOfHostUnknown: an agent reports no pace, or one that makes no sense. Its host counts
// as usual and must neither lose its models nor get those of others.
func TestSpeedOfHostUnknown(t *testing.T) {
	for _, speed := range []float64{0, -1, 1, 7} {
		p := &copies.Planner{Parallel: 4}
		odd := host("a", names(0, 1))
		odd.Speed = speed
		demand := map[core.ModelName]copies.Demand{name(0): {Rate: 4, Hasty: 4, Work: 0.28}, name(1): {Rate: 1}, name(2): {Rate: 1}, name(3): {Rate: 1}}
		wantMoves(t, p.Plan(t0, service(4), []*copies.Host{odd, host("b", names(2, 3), name(0))}, demand))
	}
}

// TestSpeedsThatChange: the measured speeds of engines go up and down with the models that they
// run. Copies must not be moved back and forth with them.
func TestSpeedsThatChange(t *testing.T) {
	p := &copies.Planner{Parallel: 4}
	hosts := []*copies.Host{host("a", names(0, 1), name(0)), host("b", names(2, 3), name(0)), host("c", names(4, 5), name(0))}
	demand := map[core.ModelName]copies.Demand{name(0): {Rate: 4, Hasty: 4, Work: 0.28}}
	for i := 1; i < 6; i++ {
		demand[name(i)] = copies.Demand{Rate: 1}
	}
	moves := 0
	for step := range 60 {
		now := t0.Add(time.Duration(step) * time.Second)
		for i, h := range hosts {
			h.TakesOrders, h.Speed, h.ReportedAt = true, 0, now
			if (step+i)%3 == 0 {
				h.Speed = 0.6
			}
		}
		for _, m := range p.Plan(now, service(6), hosts, demand) {
			moves++
			carryOut(hosts, m)
		}
	}
	assert.Assert(t, moves <= 2, "%d moves in a minute", moves)
}

// carryOut lets a host hold what a move says.
func carryOut(hosts []*copies.Host, m copies.Move) {
	for _, h := range hosts {
		if h.ID != m.Host {
			continue
		}
		var held []core.ModelName
		for _, name := range h.Held {
			if len(m.Evict) == 0 || name != m.Evict[0] {
				held = append(held, name)
			}
		}
		h.Held = append(held, m.Load)
	}
}

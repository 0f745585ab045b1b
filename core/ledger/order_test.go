package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/ledger"
)

// nextOrder returns the order that is due.
func (f *fixture) nextOrder() ledger.Order {
	f.t.Helper()
	o, ok := f.ledger.Next(f.now)
	assert.Assert(f.t, ok, "no order is due")
	return o
}

func (f *fixture) failOrder(fault core.EngineFault) {
	f.ledger.Answer(f.now, ledger.Reply{Failed: true, Fault: fault})
}

func (f *fixture) assertNoOrder() {
	f.t.Helper()
	o, ok := f.ledger.Next(f.now)
	assert.Assert(f.t, !ok, "an order is due: %v", o)
}

func TestAnswer(t *testing.T) {
	t.Run("one order at a time", func(t *testing.T) {
		f := newFixture(t, 80)
		f.assertLoad(request("m1", 30), ledger.Loading)
		f.assertLoad(request("m2", 30), ledger.Loading)
		f.nextOrder()
		f.assertNoOrder()
	})
	t.Run("a refused load releases its reservation", func(t *testing.T) {
		f := newFixture(t, 80)
		f.assertLoad(request("m1", 30), ledger.Loading)
		f.nextOrder()
		f.failOrder(core.EngineNoMemory)
		assert.Equal(t, f.ledger.Reserved()[0], core.Bytes(0))
		assert.Assert(t, f.ledger.ProvenAbsent("m1"))
	})
	t.Run("an order that never left is sent again", func(t *testing.T) {
		f := newFixture(t, 80)
		f.assertLoad(request("m1", 30), ledger.Loading)
		first := f.nextOrder()
		f.failOrder(core.EngineUnreached)
		f.assertNoOrder()
		f.advance(ledger.ResendInterval)
		assert.Assert(t, f.nextOrder().Load.Fence > first.Load.Fence)
	})
	t.Run("a load that the engine abandoned is detected from its report", func(t *testing.T) {
		f := newFixture(t, 80)
		f.assertLoad(request("m1", 30), ledger.Loading)
		f.sendOrders()
		f.report()
		f.state.Items = nil
		f.report()
		assert.Assert(t, f.ledger.ProvenAbsent("m1"))
	})
}

// The answer to a load order is lost, the engine does not report the model, and
// no request waits for it any more. The memory must stay reserved, and the grant
// must be kept, until the order can't arrive any more. Only then may other models
// use the memory.
func TestLostOrder(t *testing.T) {
	f := newFixture(t, 80)
	f.assertLoad(request("m1", 60), ledger.Loading)
	f.nextOrder()
	f.failOrder(core.EngineLost)
	assert.Assert(t, f.ledger.Unload(f.now, "m1"))
	f.advance(ledger.MaxOrderDelay - time.Second)
	f.report()
	assert.Equal(t, f.ledger.Reserved()[0], 60*core.GiB)
	assert.Assert(t, !f.ledger.ProvenAbsent("m1"))
	f.assertLoad(request("m2", 60), ledger.NoMemory)
	early := f.ledger.NewTicket(f.now)
	f.advance(time.Second)
	f.ledger.Report(f.now, early, f.state)
	assert.Assert(t, !f.ledger.ProvenAbsent("m1"), "a report that was requested too early counts as proof")
	f.report()
	assert.Assert(t, f.ledger.ProvenAbsent("m1"))
	f.assertLoad(request("m2", 60), ledger.Loading)
}

// newCheckingFixture returns a fixture whose engine is configured to check fencing
// numbers.
func newCheckingFixture(t *testing.T, fence core.Fence) *fixture {
	t.Helper()
	f := &fixture{t: t, now: start}
	f.ledger.Started = start
	f.ledger.ChecksFence = true
	f.state = core.EngineState{Epoch: 1, Fence: fence, Capacity: []core.Bytes{80 * core.GiB}}
	f.report()
	return f
}

func TestBarrier(t *testing.T) {
	t.Run("nothing is loaded before the engine reports the fencing number", func(t *testing.T) {
		f := newCheckingFixture(t, 5)
		f.assertLoad(request("m1", 30), ledger.NotReady)
		o := f.nextOrder()
		assert.Assert(t, o.Unload.Fence > 5)
		f.ledger.Answer(f.now, ledger.Reply{})
		f.assertLoad(request("m1", 30), ledger.NotReady)
		f.state.Fence = o.Unload.Fence
		f.report()
		f.assertLoad(request("m1", 30), ledger.Loading)
	})
	t.Run("items that the engine holds can be used before that", func(t *testing.T) {
		f := newCheckingFixture(t, 5)
		f.state.Items = []core.EngineItem{{Name: "m1", State: core.Loaded, Accelerators: []int{0}, Bytes: core.GiB}}
		f.report()
		f.beginUse("m1")
		assert.Assert(t, !f.ledger.ProvenAbsent("m2"))
	})
	t.Run("fencing numbers are exact in floating point and grow with time", func(t *testing.T) {
		first := newCheckingFixture(t, 0).nextOrder().Unload.Fence
		assert.Assert(t, first < 1<<53)
		f := &fixture{t: t, now: start.Add(time.Second)}
		f.ledger = ledger.Ledger{Started: f.now, ChecksFence: true}
		f.report()
		assert.Assert(t, f.nextOrder().Unload.Fence > first)
	})
	t.Run("an order refused as stale means another agent", func(t *testing.T) {
		f := newCheckingFixture(t, 0)
		f.nextOrder()
		f.failOrder(core.EngineStale)
		assert.Assert(t, f.ledger.Superseded())
		f.assertLoad(request("m1", 30), ledger.Superseded)
		f.assertNoOrder()
	})
	t.Run("a larger fencing number in a report means another agent", func(t *testing.T) {
		f := newCheckingFixture(t, 0)
		f.state.Fence = 1 << 60
		f.report()
		assert.Assert(t, f.ledger.Superseded())
	})
	t.Run("the barrier is raised again after an engine restart", func(t *testing.T) {
		f := newCheckingFixture(t, 0)
		f.state.Fence = f.nextOrder().Unload.Fence
		f.ledger.Answer(f.now, ledger.Reply{})
		f.report()
		f.state.Epoch, f.state.Fence = 2, 0
		f.report()
		f.assertLoad(request("m1", 30), ledger.NotReady)
		f.advance(ledger.ResendInterval)
		assert.Equal(t, f.nextOrder().Kind, ledger.UnloadItem)
	})
	t.Run("the ledger waits instead if the engine keeps no fencing numbers", func(t *testing.T) {
		f := newCheckingFixture(t, 0)
		f.sendOrders()
		f.report()
		f.assertLoad(request("m1", 30), ledger.NotReady)
		f.advance(ledger.MaxOrderDelay)
		f.report()
		f.assertLoad(request("m1", 30), ledger.Loading)
	})
}

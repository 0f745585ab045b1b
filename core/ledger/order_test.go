package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/ledger"
)

// next returns the order that is due.
func (b *bench) next() ledger.Order {
	b.t.Helper()
	o, ok := b.ledger.Next(b.now)
	assert.Assert(b.t, ok, "an order is due")
	return o
}

func (b *bench) fail(f core.EngineFault) {
	b.ledger.Answer(b.now, ledger.Reply{Failed: true, Fault: f})
}

func (b *bench) none() {
	b.t.Helper()
	o, ok := b.ledger.Next(b.now)
	assert.Assert(b.t, !ok, "no order is due, found %v", o)
}

func TestAnswer(t *testing.T) {
	t.Run("one order at a time", func(t *testing.T) {
		b := newBench(t, 80)
		b.load(want("m1", 30), ledger.Coming)
		b.load(want("m2", 30), ledger.Coming)
		b.next()
		b.none()
	})
	t.Run("a refused load gives its promise back", func(t *testing.T) {
		b := newBench(t, 80)
		b.load(want("m1", 30), ledger.Coming)
		b.next()
		b.fail(core.EngineNoMemory)
		assert.Equal(t, b.ledger.Promised()[0], core.Bytes(0))
		assert.Assert(t, b.ledger.Clear("m1"))
	})
	t.Run("an order that never left is sent again", func(t *testing.T) {
		b := newBench(t, 80)
		b.load(want("m1", 30), ledger.Coming)
		first := b.next()
		b.fail(core.EngineUnreached)
		b.none()
		b.pass(ledger.Resend)
		assert.Assert(t, b.next().Load.Fence > first.Load.Fence)
	})
	t.Run("a load that the engine gave up is found by its report", func(t *testing.T) {
		b := newBench(t, 80)
		b.load(want("m1", 30), ledger.Coming)
		b.order()
		b.report()
		b.state.Items = nil
		b.report()
		assert.Assert(t, b.ledger.Clear("m1"))
	})
}

// A load order's answer is lost, the engine shows nothing of the model, and its
// waiters are gone. The memory stays promised, and the grant is kept, until the
// order can't arrive any more; only then may others have the memory.
func TestLostOrder(t *testing.T) {
	b := newBench(t, 80)
	b.load(want("m1", 60), ledger.Coming)
	b.next()
	b.fail(core.EngineLost)
	assert.Assert(t, b.ledger.Unload(b.now, "m1"))
	b.pass(ledger.Settle - time.Second)
	b.report()
	assert.Equal(t, b.ledger.Promised()[0], 60*core.GiB)
	assert.Assert(t, !b.ledger.Clear("m1"))
	b.load(want("m2", 60), ledger.NoMemory)
	early := b.ledger.Ask(b.now)
	b.pass(time.Second)
	b.ledger.Report(b.now, early, b.state)
	assert.Assert(t, !b.ledger.Clear("m1"), "the report was asked for too early")
	b.report()
	assert.Assert(t, b.ledger.Clear("m1"))
	b.load(want("m2", 60), ledger.Coming)
}

// checker returns a bench whose engine is said to check fencing numbers.
func checker(t *testing.T, seen core.Fence) *bench {
	t.Helper()
	b := &bench{t: t, now: start}
	b.ledger.Started = start
	b.ledger.ChecksFence = true
	b.state = core.EngineState{Epoch: 1, Fence: seen, Capacity: []core.Bytes{80 * core.GiB}}
	b.report()
	return b
}

func TestBarrier(t *testing.T) {
	t.Run("nothing is loaded before the engine shows the number", func(t *testing.T) {
		b := checker(t, 5)
		b.load(want("m1", 30), ledger.NotReady)
		o := b.next()
		assert.Assert(t, o.Unload.Fence > 5)
		b.ledger.Answer(b.now, ledger.Reply{})
		b.load(want("m1", 30), ledger.NotReady)
		b.state.Fence = o.Unload.Fence
		b.report()
		b.load(want("m1", 30), ledger.Coming)
	})
	t.Run("what the engine holds can be used before", func(t *testing.T) {
		b := checker(t, 5)
		b.state.Items = []core.EngineItem{{Name: "m1", State: core.Loaded, Accelerators: []int{0}, Bytes: core.GiB}}
		b.report()
		b.begin("m1")
		assert.Assert(t, !b.ledger.Clear("m2"))
	})
	t.Run("numbers are exact in floating point and grow with time", func(t *testing.T) {
		first := checker(t, 0).next().Unload.Fence
		assert.Assert(t, first < 1<<53)
		b := &bench{t: t, now: start.Add(time.Second)}
		b.ledger = ledger.Ledger{Started: b.now, ChecksFence: true}
		b.report()
		assert.Assert(t, b.next().Unload.Fence > first)
	})
	t.Run("a larger number is another agent's", func(t *testing.T) {
		b := checker(t, 0)
		b.next()
		b.fail(core.EngineStale)
		assert.Assert(t, b.ledger.Superseded())
		b.load(want("m1", 30), ledger.Fenced)
		b.none()
	})
	t.Run("also in a report", func(t *testing.T) {
		b := checker(t, 0)
		b.state.Fence = 1 << 60
		b.report()
		assert.Assert(t, b.ledger.Superseded())
	})
	t.Run("an engine that forgot it is told again", func(t *testing.T) {
		b := checker(t, 0)
		b.state.Fence = b.next().Unload.Fence
		b.ledger.Answer(b.now, ledger.Reply{})
		b.report()
		b.state.Epoch, b.state.Fence = 2, 0
		b.report()
		b.load(want("m1", 30), ledger.NotReady)
		b.pass(ledger.Resend)
		assert.Equal(t, b.next().Kind, ledger.UnloadItem)
	})
	t.Run("one that keeps no numbers is waited for instead", func(t *testing.T) {
		b := checker(t, 0)
		b.order()
		b.report()
		b.load(want("m1", 30), ledger.NotReady)
		b.pass(ledger.Settle)
		b.report()
		b.load(want("m1", 30), ledger.Coming)
	})
}

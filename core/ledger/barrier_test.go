package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/ledger"
)

// An agent starts while its engine executes orders and loses the answers. The
// first order raises the engine's fencing number, and the engine's report shows
// that it was accepted. If the lost answer counted as an order without effect,
// each retry would have the same result, no load would ever be ordered, and
// requests would wait for it.
func TestLostAnswerToTheFirstOrder(t *testing.T) {
	f := &fixture{t: t, now: start}
	f.ledger.Started, f.ledger.ChecksFence = start, true
	f.state.Epoch, f.state.Capacity = 1, []core.Bytes{80 * core.GiB}
	f.report()
	raise := f.nextOrder()
	t.Run("a report confirms a fencing number that was accepted", func(t *testing.T) {
		f.state.Fence = raise.Unload.Fence
		f.failOrder(core.EngineLost)
		f.report()
		assert.Assert(t, f.ledger.Rebuilt())
		f.assertLoad(request("m1", 30), ledger.Loading)
		assert.Equal(t, f.nextOrder().Kind, ledger.LoadItem)
	})
	t.Run("a fencing number that was not accepted is sent again", func(t *testing.T) {
		f := &fixture{t: t, now: start}
		f.ledger.Started, f.ledger.ChecksFence = start, true
		f.state.Epoch, f.state.Capacity = 1, []core.Bytes{80 * core.GiB}
		f.report()
		first := f.nextOrder()
		f.failOrder(core.EngineLost)
		f.report()
		f.assertNoOrder()
		f.advance(ledger.ResendInterval)
		again := f.nextOrder()
		assert.Assert(t, again.Unload.Fence > first.Unload.Fence)
		f.state.Fence = again.Unload.Fence
		f.ledger.Answer(f.now, ledger.Reply{})
		f.report()
		assert.Assert(t, f.ledger.Rebuilt())
	})
}

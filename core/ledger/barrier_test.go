package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/ledger"
)

// An agent starts while its engine carries orders out and loses their answers. Its
// first order raises the engine's fencing number; the engine's report shows that it
// was taken. A caller's request waited for a load that was never ordered, since the
// lost answer was taken for an order that had no effect, at each try anew.
func TestLostAnswerToTheFirstOrder(t *testing.T) {
	b := &bench{t: t, now: start}
	b.ledger.Started, b.ledger.ChecksFence = start, true
	b.state.Epoch, b.state.Capacity = 1, []core.Bytes{80 * core.GiB}
	b.report()
	raise := b.next()
	t.Run("the report confirms what was taken", func(t *testing.T) {
		b.state.Fence = raise.Unload.Fence
		b.fail(core.EngineLost)
		b.report()
		assert.Assert(t, b.ledger.Rebuilt())
		b.load(want("m1", 30), ledger.Coming)
		assert.Equal(t, b.next().Kind, ledger.LoadItem)
	})
	t.Run("what was not taken is sent again", func(t *testing.T) {
		b := &bench{t: t, now: start}
		b.ledger.Started, b.ledger.ChecksFence = start, true
		b.state.Epoch, b.state.Capacity = 1, []core.Bytes{80 * core.GiB}
		b.report()
		first := b.next()
		b.fail(core.EngineLost)
		b.report()
		b.none()
		b.pass(ledger.Resend)
		again := b.next()
		assert.Assert(t, again.Unload.Fence > first.Unload.Fence)
		b.state.Fence = again.Unload.Fence
		b.ledger.Answer(b.now, ledger.Reply{})
		b.report()
		assert.Assert(t, b.ledger.Rebuilt())
	})
}

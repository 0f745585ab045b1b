package losses_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/losses"
)

func TestCause(t *testing.T) {
	const target = 2 * time.Second
	rows := []struct {
		name string
		r    losses.Request
		want losses.Cause
	}{
		{"in time", losses.Request{Target: target, Answered: true, Duration: 5 * time.Second, FirstEvent: time.Second, NoCopyWait: 900 * time.Millisecond}, losses.None},
		{"no target known", losses.Request{Answered: true, Duration: time.Minute}, losses.None},
		{"a copy came late", losses.Request{Target: target, Answered: true, FirstEvent: 3 * time.Second, NoCopyWait: 2 * time.Second}, losses.LateNoCopy},
		{"an adapter came late", losses.Request{Target: target, Answered: true, FirstEvent: 3 * time.Second, NoCopyWait: time.Second, AdapterWait: 1500 * time.Millisecond}, losses.LateAdapter},
		{"the engine was late", losses.Request{Target: target, Answered: true, FirstEvent: 3 * time.Second, NoCopyWait: time.Second}, losses.LateQueue},
		{"it was held too long", losses.Request{Target: target, Answered: true, FirstEvent: 3 * time.Second, HeldWait: 2 * time.Second}, losses.LateHeld},
		{"left while it was held", losses.Request{Code: core.CodeCancelled, Duration: 4 * time.Second, HeldWait: 3 * time.Second}, losses.CancelledHeld},
		{"a plain answer came late", losses.Request{Target: target, Answered: true, Duration: 3 * time.Second}, losses.LateQueue},
		{"a stream paused", losses.Request{Target: target, Answered: true, FirstEvent: time.Second, LongestPause: time.Second, PauseTarget: 200 * time.Millisecond}, losses.LatePauses},
		{"the upstream's own failure", losses.Request{Target: target, Answered: true, Failed: true}, losses.FailedUpstream},
		{"unusable answer", losses.Request{Code: core.CodeUpstreamLost, Spoilt: true}, losses.FailedSpoilt},
		{"lost", losses.Request{Code: core.CodeUpstreamLost}, losses.FailedLost},
		{"not answered", losses.Request{Code: core.CodeUpstreamLate}, losses.FailedLate},
		{"left without a copy", losses.Request{Code: core.CodeCancelled, Duration: 2 * time.Second, NoCopyWait: 2 * time.Second}, losses.CancelledNoCopy},
		{"left without an event", losses.Request{Code: core.CodeCancelled, Duration: 2 * time.Second, Sends: 1}, losses.CancelledQueue},
		{"refused at its deadline", losses.Request{Target: target, Code: core.CodeWaitTooLong, Duration: 8 * time.Second, NoCopyWait: 8 * time.Second}, losses.RefusedAtDeadline},
		{"refused while it waited", losses.Request{Target: target, Code: core.CodeWaitTooLong, Duration: time.Second, NoCopyWait: time.Second}, losses.RefusedWaiting},
		{"refused at once", losses.Request{Target: target, Code: core.CodeOverload}, losses.RefusedAtOnce},
		{"the entry stops", losses.Request{Code: core.CodeLeaving}, losses.RefusedOther},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { assert.Equal(t, row.r.Cause().String(), row.want.String()) })
	}
}

func TestTable(t *testing.T) {
	var table losses.Table
	for _, code := range []core.Code{core.CodeLeaving, core.CodeUpstreamLost, core.CodeUpstreamLost} {
		table.Add(&losses.Request{Route: "b", Code: code})
	}
	table.Add(&losses.Request{Route: "b", Answered: true})
	table.Add(&losses.Request{Route: "a", Answered: true})
	assert.DeepEqual(t, table.Routes(), []string{"a", "b"})
	assert.DeepEqual(t, table.Rows("b"), []losses.Row{{losses.None, 1}, {losses.FailedLost, 2}, {losses.RefusedOther, 1}})
	all, lost := table.Total("b")
	assert.Equal(t, all, 4)
	assert.Equal(t, lost, 3, "all requests but those served in time count as lost")
	assert.Equal(t, len(table.Rows("c")), 0)
}

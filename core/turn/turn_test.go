package turn_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/turn"
)

var t0 = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	patient := turn.Request{Arrived: t0, Leaves: t0.Add(8 * time.Second), Target: 2 * time.Second, Urgent: 500 * ms}
	rows := []struct {
		name      string
		wait, own time.Duration
		now       time.Duration
		urgent    time.Duration
		want      turn.Verdict
		by        time.Duration
	}{
		{"room for urgent ones remains", 300 * ms, 200 * ms, 0, 500 * ms, turn.Start, 0},
		{"no urgent ones come", 1500 * ms, 200 * ms, 0, 0, turn.Start, 0},
		{"it would delay urgent ones and can wait", 900 * ms, 200 * ms, 0, 500 * ms, turn.Hold, 1070 * ms},
		{"it can wait no longer", 900 * ms, 200 * ms, 1080 * ms, 500 * ms, turn.Start, 0},
		{"nor when the decision comes a little late", 900 * ms, 200 * ms, 1120 * ms, 500 * ms, turn.Start, 0},
		{"a long prompt at an idle host", 1200 * ms, 1190 * ms, 0, 500 * ms, turn.Start, 0},
		{"a long prompt with little work ahead", 1280 * ms, 1190 * ms, 0, 500 * ms, turn.Start, 0},
		{"late, and the host is busy", 900 * ms, 200 * ms, 1500 * ms, 500 * ms, turn.HoldLate, 0},
		{"late, and the host is nearly idle", 210 * ms, 200 * ms, 3 * time.Second, 500 * ms, turn.Start, 0},
		{"late on arrival", 3 * time.Second, 200 * ms, 0, 0, turn.HoldLate, 0},
		{"its caller leaves before", 9 * time.Second, 200 * ms, 0, 0, turn.Refuse, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := patient
			r.Wait, r.Own, r.Urgent = row.wait, row.own, row.urgent
			v, by := r.Decide(t0.Add(row.now))
			assert.Equal(t, v, row.want, "%v", v)
			if v == turn.Hold {
				assert.Equal(t, by.Sub(t0).Round(time.Millisecond), row.by)
			}
		})
	}
	t.Run("it would hold up streams that go on soon", func(t *testing.T) {
		r := patient
		r.Wait, r.Own, r.HeldUp = 200*ms, 100*ms, 3
		v, by := r.Decide(t0)
		assert.Equal(t, v, turn.Hold)
		assert.Equal(t, by.Sub(t0), 1770*ms)
		v, _ = r.Decide(by)
		assert.Equal(t, v, turn.Start, "it cannot wait for longer")
	})
	t.Run("others wait for the host that are as urgent", func(t *testing.T) {
		r := patient
		r.Wait, r.Own, r.Contended = 200*ms, 100*ms, true
		v, _ := r.Decide(t0)
		assert.Equal(t, v, turn.Hold)
		v, _ = r.Decide(t0.Add(1800 * ms))
		assert.Equal(t, v, turn.Hold, "not even when it can wait no longer")
		v, _ = r.Decide(t0.Add(3 * time.Second))
		assert.Equal(t, v, turn.HoldLate)
	})
	t.Run("a route without a target starts", func(t *testing.T) {
		r := turn.Request{Arrived: t0, Leaves: t0.Add(time.Second), Wait: time.Hour}
		v, _ := r.Decide(t0)
		assert.Equal(t, v, turn.Start)
	})
}

func TestRanks(t *testing.T) {
	var r turn.Ranks
	assert.Equal(t, r.Urgent(t0, 2), time.Duration(0))
	r.Note(t0, 0, 500*ms)
	r.Note(t0, 1, 300*ms)
	r.Note(t0, 1, 800*ms)
	r.Note(t0, 2, 100*ms)
	assert.Equal(t, r.Urgent(t0, 0), time.Duration(0), "nothing is more urgent")
	assert.Equal(t, r.Urgent(t0, 1), 500*ms)
	assert.Equal(t, r.Urgent(t0, 2), 300*ms, "the shortest of what is more urgent")
	assert.Equal(t, r.Urgent(t0.Add(time.Minute), 2), time.Duration(0), "not once nothing urgent comes any more")
}

// Guards against callers that are refused in one wave and return as one.
func TestReturnsAreSpread(t *testing.T) {
	var r turn.Returns
	room, latest := t0.Add(500*ms), t0.Add(2*time.Second)
	seen := map[time.Time]int{}
	var before time.Time
	for n := range 15 {
		at := r.At(room, 100*ms, latest)
		assert.Assert(t, !at.Before(room) && !at.After(latest))
		assert.Assert(t, n == 0 || at.After(before), "in the order of refusals")
		before = at
		seen[at]++
	}
	for at, n := range seen {
		assert.Equal(t, n, 1, "%v", at)
	}
	assert.Equal(t, r.At(room, 100*ms, latest), latest)
	assert.Equal(t, r.At(room, 100*ms, latest), room, "a new round")
}

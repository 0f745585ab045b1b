package pace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/pace"
)

var t0 = time.Unix(1_700_000_000, 0)

const (
	interval    = 150 * time.Millisecond
	eventTokens = 6
)

// engine plays the streams of an engine, which make an event in each gap.
type engine struct {
	meter   pace.Meter
	now     time.Time
	made    float64
	restart int64
}

// run observes the engine for a while. gap is the time between two events, and reading is set
// if the engine reads prompts.
func (e *engine) run(span, gap time.Duration, reading bool) {
	for end := e.now.Add(span); e.now.Before(end); {
		e.now = e.now.Add(interval)
		e.made += float64(interval) / float64(gap)
		e.observe(reading)
	}
}

func (e *engine) observe(reading bool) {
	var streams []core.UpstreamStream
	for i := range int64(5) {
		events := int64(e.made) - e.restart
		streams = append(streams, core.UpstreamStream{ID: core.RequestID(fmt.Sprint("q-", i)), Events: events, Tokens: 3000 + events*eventTokens})
	}
	e.meter.Observe(e.now, streams, reading)
}

func assertGap(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, float64(got) > 0.75*float64(want) && float64(got) < 1.25*float64(want), "%v, want %v", got, want)
}

func TestPace(t *testing.T) {
	t.Run("with and without prompts", func(t *testing.T) {
		e := engine{now: t0}
		for range 6 {
			e.run(750*time.Millisecond, 40*time.Millisecond, false)
			e.run(750*time.Millisecond, 600*time.Millisecond, true)
		}
		got := e.meter.Pace()
		assertGap(t, got.Event, 40*time.Millisecond)
		assertGap(t, got.ReadingEvent, 600*time.Millisecond)
		assert.Equal(t, got.EventTokens, eventTokens)
	})
	t.Run("unknown without streams", func(t *testing.T) {
		var m pace.Meter
		for i := range 20 {
			m.Observe(t0.Add(time.Duration(i)*interval), nil, true)
		}
		assert.Equal(t, m.Pace(), core.Pace{})
	})
	t.Run("small changes are not reported", func(t *testing.T) {
		e := engine{now: t0}
		e.run(3*time.Second, 40*time.Millisecond, false)
		before := e.meter.Pace()
		e.run(3*time.Second, 43*time.Millisecond, false)
		assert.Equal(t, e.meter.Pace(), before)
	})
}

// Guards against one sample that is taken for the pace of an engine: a single pause would turn
// all requests away from it.
func TestOneSampleIsNotTrusted(t *testing.T) {
	e := engine{now: t0}
	e.run(2*interval, 2*time.Second, true)
	assert.Equal(t, e.meter.Pace(), core.Pace{})
}

// Guards against a host that keeps its share after it has halved its speed.
func TestEngineThatSlowsIsKnownWithinTwoSeconds(t *testing.T) {
	e := engine{now: t0}
	e.run(20*time.Second, 300*time.Millisecond, true)
	assertGap(t, e.meter.Pace().ReadingEvent, 300*time.Millisecond)
	e.run(2*time.Second, 600*time.Millisecond, true)
	assert.Assert(t, e.meter.Pace().ReadingEvent > 450*time.Millisecond, "%v", e.meter.Pace().ReadingEvent)
}

// Guards against a frozen agent whose silence counts as time in which the engine made no event.
func TestTimeFrozenIsNotCounted(t *testing.T) {
	e := engine{now: t0}
	e.run(3*time.Second, 40*time.Millisecond, false)
	before := e.meter.Pace()
	e.now = e.now.Add(8 * time.Second)
	e.run(time.Second, 40*time.Millisecond, false)
	assert.Equal(t, e.meter.Pace(), before)
}

// Guards against reports that go backwards: a stream that the engine put back and reads anew.
func TestStreamThatBeginsAnewIsNotCounted(t *testing.T) {
	e := engine{now: t0}
	e.run(3*time.Second, 40*time.Millisecond, false)
	before := e.meter.Pace()
	e.restart = int64(e.made)
	e.run(time.Second, 40*time.Millisecond, false)
	assert.Equal(t, e.meter.Pace(), before)
}

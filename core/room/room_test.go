package room_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/room"
)

const pause = 500 * time.Millisecond

// quick and slow return engines that read a prompt of 2,000 tokens in 45 and 95 ms.
func quick() room.Engine {
	return room.Engine{Pace: core.Pace{Event: 30 * time.Millisecond, ReadingEvent: 300 * time.Millisecond, EventTokens: 6}, Rate: 44, Streams: 10, Reading: 0.5}
}

func slow() room.Engine {
	return room.Engine{Pace: core.Pace{Event: 60 * time.Millisecond, ReadingEvent: 640 * time.Millisecond, EventTokens: 6}, Rate: 21, Streams: 10, Reading: 0.5}
}

func TestHeldUp(t *testing.T) {
	short, long := room.Request{Prompt: 2900, Pause: pause}, room.Request{Prompt: 20_000, Pause: pause}
	rows := []struct {
		name    string
		engine  room.Engine
		request room.Request
		ahead   int
		want    float64
	}{
		{"a quick engine has room for any prompt", quick(), long, 0, 0},
		{"a slow one for a short prompt", slow(), short, 0, 0},
		{"but not for a long one", slow(), long, 0, 10},
		{"nor for a short one behind others", slow(), short, 10_000, 6},
		{"streams that are held up already do not count again", slow(), short, 20_000, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			row.engine.Ahead = row.ahead
			got := row.engine.HeldUp(row.request)
			assert.Assert(t, got > row.want-1.5 && got < row.want+1.5, got)
		})
	}
	t.Run("no streams, no pause accepted or asked for, no pace known", func(t *testing.T) {
		for _, change := range []func(e *room.Engine, r *room.Request){
			func(e *room.Engine, _ *room.Request) { e.Streams = 0 },
			func(_ *room.Engine, r *room.Request) { r.Pause = 0 },
			func(_ *room.Engine, r *room.Request) { r.Prompt = 0 },
			func(e *room.Engine, _ *room.Request) { e.Pace = core.Pace{} },
			func(e *room.Engine, _ *room.Request) { e.Rate = 0 },
		} {
			e, r := slow(), long
			change(&e, &r)
			assert.Equal(t, e.HeldUp(r), 0.0)
		}
	})
}

func TestPauseChance(t *testing.T) {
	chance := func(e room.Engine, answer int) float64 {
		return e.PauseChance(room.Request{Prompt: 800, Answer: answer, Pause: pause})
	}
	s := slow()
	assert.Equal(t, chance(quick(), 300), 0.0)
	assert.Assert(t, chance(s, 300) > 0.6, "a long answer at a slow engine that reads half of the time")
	assert.Assert(t, chance(s, 20) < 0.2, "a short answer there")
	s.Reading = 0.1
	assert.Assert(t, chance(s, 300) < 0.1, "a long answer at a slow engine that seldom reads")
	s.Pace = core.Pace{}
	assert.Equal(t, chance(s, 300), 0.0)
}

func BenchmarkRoom(b *testing.B) {
	e, r := slow(), room.Request{Prompt: 2900, Answer: 60, Pause: pause}
	b.ReportAllocs()
	for b.Loop() {
		if e.HeldUp(r)+e.PauseChance(r) < 0 {
			b.Fatal("negative")
		}
	}
}

func TestFullChance(t *testing.T) {
	for _, c := range []struct {
		need, free int
		want       float64
	}{{1000, 10_000, 0}, {8000, 10_000, 0}, {9500, 10_000, 0.5}, {12_000, 10_000, 1}, {1, 0, 1}, {1, -5, 1}, {0, 0, 0}, {-3, 10, 0}} {
		got := room.FullChance(c.need, c.free)
		assert.Assert(t, math.Abs(got-c.want) < 1e-9, "%d of %d: %v", c.need, c.free, got)
	}
}

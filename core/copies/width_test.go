package copies_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/copies"
)

// storeSimulation simulates a weight store that serves some loads at once at full speed,
// and hosts that begin a load whenever the width allows one more.
type storeSimulation struct {
	now   time.Time
	speed float64
	width copies.Width
	hosts []*copies.Host
	// remaining is the time that each host's load still needs at full speed.
	remaining []time.Duration
	done      int
}

const (
	loadAlone    = 10 * time.Second
	pollInterval = 250 * time.Millisecond
)

func newStoreSimulation(speed float64, first float64) *storeSimulation {
	l := &storeSimulation{now: time.Unix(1000, 0), speed: speed, width: copies.Width{First: first}, remaining: make([]time.Duration, 40)}
	for i := range l.remaining {
		l.hosts = append(l.hosts, &copies.Host{ID: core.HostName(fmt.Sprint("h-", i))})
	}
	return l
}

func (l *storeSimulation) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(pollInterval) {
		l.width.Note(l.now, l.hosts, func(core.ModelName) time.Duration { return loadAlone })
		running := 0
		for _, h := range l.hosts {
			if h.Loading != "" {
				running++
			}
		}
		for i, h := range l.hosts {
			if h.Loading == "" && running < l.width.Value() {
				l.done++
				h.Held, h.Loading, l.remaining[i] = nil, core.ModelName(fmt.Sprint("m-", l.done)), loadAlone
				running++
			}
		}
		for i, h := range l.hosts {
			if h.Loading == "" {
				continue
			}
			l.remaining[i] -= time.Duration(float64(pollInterval) * min(1, l.speed/float64(running)))
			if l.remaining[i] <= 0 {
				h.Held, h.Loading = []core.ModelName{h.Loading}, ""
			}
		}
	}
}

// Guards against loads that are all slowed down because the store serves fewer at once, and
// against a store that is partly idle.
func TestWidthFindsStoreCapacity(t *testing.T) {
	for _, speed := range []float64{1, 2, 4, 9} {
		t.Run(fmt.Sprint(speed, " at once"), func(t *testing.T) {
			l := newStoreSimulation(speed, 2)
			l.run(2 * time.Minute)
			got := float64(l.width.Value())
			assert.Assert(t, got >= speed && got <= speed+2, got)
		})
	}
}

// Guards against an outdated width after the store's speed has changed.
func TestWidthFollowsTheStore(t *testing.T) {
	l := newStoreSimulation(6, 2)
	l.run(time.Minute)
	assert.Assert(t, l.width.Value() >= 5, l.width.Value())
	l.speed = 2
	l.run(40 * time.Second)
	assert.Assert(t, l.width.Value() <= 3, l.width.Value())
	l.speed = 6
	l.run(4 * time.Minute)
	assert.Assert(t, l.width.Value() >= 5, l.width.Value())
}

// Guards against loads that another process began, whose start time is unknown, being
// measured as fast ones.
func TestWidthIgnoresLoadsWithUnknownStart(t *testing.T) {
	w := copies.Width{First: 2}
	now := time.Unix(1000, 0)
	alone := func(core.ModelName) time.Duration { return loadAlone }
	w.Note(now, []*copies.Host{{ID: "h", Loading: "m"}, {ID: "i", Loading: "n"}}, alone)
	w.Note(now.Add(time.Second), []*copies.Host{{ID: "h", Held: []core.ModelName{"m"}}, {ID: "i", Held: []core.ModelName{"n"}}}, alone)
	assert.Equal(t, w.Value(), 2)
}

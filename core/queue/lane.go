package queue

import (
	"math"
	"time"

	"radishwell/core"
)

const (
	// longFactor is how far above the usual cost of its lane an item's cost is
	// for it to be long, as a power of two: four times. Requests of one kind
	// differ by less; a review among checks differs by far more.
	longFactor = 2
	// usualSamples is how many items tell what is usual, usualWeight how much one
	// of them replaces.
	usualSamples = 16
	usualWeight  = 1.0 / 64
	// recentShort is for how long after a short item long ones leave it room.
	recentShort = 10 * time.Second
)

// lane is what waits for one thing, such as a model: its short items and its
// long ones, which drain at paces of their own.
type lane struct {
	name   string
	tracks [2]*track
	// ready is when the lane can start work at the earliest, such as when a load
	// ends; zero for at once.
	ready time.Time
	// gauge is the lane's own, or one for all lanes where they share places.
	gauge *gauge
	// used orders idle lanes by when they were used last.
	used uint64
}

// gauge tells short from long items among those that share places.
type gauge struct {
	// usual is the smoothed binary logarithm of the cost, seen how many items
	// are in it.
	usual float64
	seen  int
	// short is when a short item of each class came last.
	short [core.ClassCount]time.Time
	// running counts the short and the long items that run.
	running [2]int
}

// track is the short or the long items of a lane.
type track struct {
	load
	lane     *lane
	long     bool
	sections [core.ClassCount]*section
	pace     pace
	running  int
	// place is the track's index in Queue.active, -1 while it is empty.
	place int
	// skip marks classes that a Pop has found held; it is reset when it ends.
	skip [core.ClassCount]bool
}

func newLane(name string, g *gauge) *lane {
	l := &lane{name: name, gauge: g}
	for i := range l.tracks {
		t := &track{lane: l, long: i == 1, place: -1}
		for c := range t.sections {
			t.sections[c] = newSection(t, core.Class(c))
		}
		l.tracks[i] = t
	}
	return l
}

// track returns the track an item belongs to.
func (l *lane) track(i Item) *track {
	if l.gauge.long(i.Cost) {
		return l.tracks[1]
	}
	return l.tracks[0]
}

func (g *gauge) long(cost int64) bool {
	return g.seen >= usualSamples && math.Log2(float64(cost)) >= g.usual+longFactor
}

// note learns from an item that came.
func (g *gauge) note(now time.Time, i Item, long bool) {
	weight := max(usualWeight, 1/float64(g.seen+1))
	g.usual += (math.Log2(float64(i.Cost)) - g.usual) * weight
	g.seen = min(g.seen+1, usualSamples)
	if !long {
		g.short[i.Class] = now
	}
}

func (g *gauge) shortSince(from time.Time, class core.Class) bool {
	for _, at := range g.short[:class+1] {
		if at.After(from) {
			return true
		}
	}
	return false
}

func (g *gauge) idle() bool { return g.running[0]+g.running[1] == 0 }

// run counts a start (1) or an end (-1) of one of the track's items.
func (t *track) run(change int) {
	t.running += change
	t.pace.widest = max(t.pace.widest, t.running)
	if t.long {
		t.lane.gauge.running[1] += change
		return
	}
	t.lane.gauge.running[0] += change
}

func (l *lane) load() load {
	sum := l.tracks[0].load
	sum.items += l.tracks[1].items
	sum.cost += l.tracks[1].cost
	sum.bytes += l.tracks[1].bytes
	return sum
}

func (l *lane) running() int { return l.tracks[0].running + l.tracks[1].running }

// idle reports whether the lane has nothing to do.
func (l *lane) idle() bool { return l.tracks[0].idle() && l.tracks[1].idle() }

func (t *track) idle() bool { return t.items == 0 && t.running == 0 }

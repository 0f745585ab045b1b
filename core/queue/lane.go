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
	// usual is the smoothed binary logarithm of the cost, seen how many items
	// are in it.
	usual float64
	seen  int
	// short is when a short item of each class came last.
	short [core.ClassCount]time.Time
	// used orders idle lanes by when they were used last.
	used uint64
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
}

func newLane(name string) *lane {
	l := &lane{name: name}
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
	if l.seen >= usualSamples && math.Log2(float64(i.Cost)) >= l.usual+longFactor {
		return l.tracks[1]
	}
	return l.tracks[0]
}

// note learns from an item that came.
func (l *lane) note(now time.Time, i Item, t *track) {
	weight := max(usualWeight, 1/float64(l.seen+1))
	l.usual += (math.Log2(float64(i.Cost)) - l.usual) * weight
	l.seen = min(l.seen+1, usualSamples)
	if !t.long {
		l.short[i.Class] = now
	}
}

// room returns how many requests of the track could start, given how many of the
// lane could. Long ones leave a quarter of the places to short ones of their
// class or a more urgent one, while such have come of late. Slots are not taken
// back from what runs, so without this a few long requests hold all of them, and
// a check that takes a moment waits for a review to end. A quarter is what long
// work then gives up at most.
func (t *track) room(now time.Time, free int) int {
	if !t.long || free <= 0 {
		return free
	}
	class, ok := t.urgent()
	if !ok || !t.lane.shortSince(now.Add(-recentShort), class) {
		return free
	}
	slots := t.lane.tracks[0].running + t.running + free
	return min(free, max(1, slots*3/4)-t.running)
}

func (l *lane) shortSince(from time.Time, class core.Class) bool {
	for _, at := range l.short[:class+1] {
		if at.After(from) {
			return true
		}
	}
	return false
}

// urgent returns the most urgent class that waits in the track.
func (t *track) urgent() (core.Class, bool) {
	for c, s := range t.sections {
		if s.items > 0 {
			return core.Class(c), true
		}
	}
	return 0, false
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

// best returns the class that goes next in the track and its start tag.
func (q *Queue) best(t *track) (core.Class, int64) {
	var found core.Class
	var least int64
	any := false
	for c, s := range t.sections {
		if s.items == 0 {
			continue
		}
		tag := q.clock.start(q.classes[c].tag)
		if !any || tag < least {
			found, least, any = core.Class(c), tag, true
		}
	}
	return found, least
}

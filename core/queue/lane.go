package queue

import (
	"math"
	"time"

	"radishwell/core"
)

const (
	// longLog2Factor is how far above the usual cost of its lane the cost of a
	// long item lies, as a power of two: four times. Costs of one kind of
	// request differ by less; long requests among short ones differ by far
	// more.
	longLog2Factor = 2
	// minSizeSamples is how many items are needed to know the usual cost, and
	// sizeWeight is the weight of each further sample.
	minSizeSamples = 16
	sizeWeight     = 1.0 / 64
	// shortWindow is the time after the arrival of a short item during which
	// long items leave slots to short ones.
	shortWindow = 10 * time.Second
)

// lane holds the items that wait for one resource, such as a model. Short and
// long items are kept apart because they drain at different rates.
type lane struct {
	name   string
	tracks [2]*track
	// ready is the earliest time at which the lane can start work, such as the
	// expected end of a load. The zero time means now.
	ready time.Time
	// strict is that of the queue.
	strict bool
	// sizes belongs to the lane alone, or to all lanes if they share slots.
	sizes *sizeClassifier
	// lastUsed orders idle lanes by their last use. It holds a sequence number.
	lastUsed uint64
}

// sizeClassifier separates short from long items among those that share slots.
type sizeClassifier struct {
	// meanLog2Cost is the smoothed binary logarithm of the cost, and samples is
	// the number of items in it, up to minSizeSamples.
	meanLog2Cost float64
	samples      int
	// lastShort is when the last short item of each class arrived.
	lastShort [levels]time.Time
	// running counts the short and the long items that run.
	running [2]int
}

// track holds either the short or the long items of a lane.
type track struct {
	load
	lane *lane
	long bool
	// classes holds the classes that have had items, nil for the others.
	classes [levels]*classQueue
	drain   drainEstimator
	running int
	// activeIndex is the track's index in Queue.active, or -1 while the track
	// is empty.
	activeIndex int
	// blocked marks the classes of which CheckHold let no item start. It is
	// valid during one call of nextEntry.
	blocked [levels]bool
}

// class returns a class of the track and creates it if necessary.
func (t *track) class(c core.Class) *classQueue {
	if t.classes[c] == nil {
		t.classes[c] = newClassQueue(t, c)
	}
	return t.classes[c]
}

// waits reports whether an owner has items of a class waiting in the track.
func (t *track) waits(c core.Class, o core.OwnerName) bool {
	return t.classes[c] != nil && t.classes[c].owners[o] != nil
}

// loadOf returns the load of a class.
func (t *track) loadOf(c core.Class) load {
	if t.classes[c] == nil {
		return load{}
	}
	return t.classes[c].load
}

func newLane(name string, g *sizeClassifier, strict bool) *lane {
	l := &lane{name: name, sizes: g, strict: strict}
	for i := range l.tracks {
		l.tracks[i] = &track{lane: l, long: i == 1, activeIndex: -1}
	}
	return l
}

// track returns the track that an item belongs to.
func (l *lane) track(i Item) *track {
	if l.sizes.isLong(i.Cost) {
		return l.tracks[1]
	}
	return l.tracks[0]
}

func (g *sizeClassifier) isLong(cost int64) bool {
	return g.samples >= minSizeSamples && math.Log2(float64(cost)) >= g.meanLog2Cost+longLog2Factor
}

// observe updates the usual cost and the time of the last short item.
func (g *sizeClassifier) observe(now time.Time, i Item, long bool) {
	weight := max(sizeWeight, 1/float64(g.samples+1))
	g.meanLog2Cost += (math.Log2(float64(i.Cost)) - g.meanLog2Cost) * weight
	g.samples = min(g.samples+1, minSizeSamples)
	if !long {
		g.lastShort[i.Class] = now
	}
}

func (g *sizeClassifier) shortSince(from time.Time, class core.Class) bool {
	for _, at := range g.lastShort[:class+1] {
		if at.After(from) {
			return true
		}
	}
	return false
}

func (g *sizeClassifier) idle() bool { return g.running[0]+g.running[1] == 0 }

// addRunning records the start (1) or the end (-1) of one of the track's items.
func (t *track) addRunning(change int) {
	t.running += change
	t.drain.maxRunning = max(t.drain.maxRunning, t.running)
	if t.long {
		t.lane.sizes.running[1] += change
		return
	}
	t.lane.sizes.running[0] += change
}

func (l *lane) load() load {
	sum := l.tracks[0].load
	sum.items += l.tracks[1].items
	sum.cost += l.tracks[1].cost
	sum.bytes += l.tracks[1].bytes
	return sum
}

func (l *lane) running() int { return l.tracks[0].running + l.tracks[1].running }

// idle reports whether nothing waits or runs in the lane.
func (l *lane) idle() bool { return l.tracks[0].idle() && l.tracks[1].idle() }

func (t *track) idle() bool { return t.items == 0 && t.running == 0 }

package slots

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// enoughThroughput is the part of the best throughput that a smaller number
	// of transfers has to reach to be preferred. The same work is done, and
	// each transfer ends sooner.
	enoughThroughput = 0.9
	// measurementTTL is how long a measurement is valid. Afterwards the level
	// is tried again, so that the pool detects when the store has recovered.
	measurementTTL = 30 * time.Second
	// sampleWeight is the weight of a new measurement.
	sampleWeight = 0.3
	// slowRatio is the part of the best measured speed below which the store
	// counts as slow and smaller numbers of transfers are tried.
	slowRatio = 0.7
	// levelGrowth is the ratio of neighbouring levels, except the smallest
	// ones.
	levelGrowth = 1.25
)

// kneeFinder finds the number of concurrent transfers at which throughput stops
// growing. It records the speed of a transfer by the number of concurrent
// transfers and chooses the smallest number whose throughput is close to the
// best.
//
// If a slow store slows each transfer however few there are, throughput still
// grows with their number and the limit does not change. If the transfers share
// what remains of the bandwidth, fewer concurrent ones end sooner and the limit
// falls. Lowering the limit for slowness alone would make the first case four
// times worse.
type kneeFinder struct {
	levels []level
	// fastest is the best speed measured.
	fastest float64
}

type level struct {
	// transfers is the largest number of concurrent transfers that counts as
	// this level.
	transfers  int
	speed      float64 // smoothed, in bytes per second
	measuredAt time.Time
}

func (k *kneeFinder) init(maxTransfers int) {
	if len(k.levels) > 0 && k.levels[len(k.levels)-1].transfers == maxTransfers {
		return
	}
	k.levels = nil
	for n := 1; n < maxTransfers; n = max(n+1, int(float64(n)*levelGrowth)) {
		k.levels = append(k.levels, level{transfers: n})
	}
	k.levels = append(k.levels, level{transfers: maxTransfers})
}

// observe records the duration of one transfer and how many ran at once on
// average during it. A failed transfer is ignored because it does not show the
// speed.
func (k *kneeFinder) observe(now time.Time, concurrency int, size core.Bytes, took time.Duration) {
	if took <= 0 || size <= 0 || len(k.levels) == 0 {
		return
	}
	l := &k.levels[len(k.levels)-1]
	for i := range k.levels {
		if concurrency <= k.levels[i].transfers {
			l = &k.levels[i]
			break
		}
	}
	speed := speedOf(size, took)
	if !l.known(now) {
		l.speed = speed
	}
	l.speed += sampleWeight * (speed - l.speed)
	l.measuredAt = now
	k.fastest = max(k.fastest, l.speed)
}

func (l *level) known(now time.Time) bool {
	return l.speed > 0 && now.Before(l.measuredAt.Add(measurementTTL))
}

// limit returns the number of transfers to allow. It is at most maxTransfers,
// the number that the store is configured to move at full speed, and lower only
// if measurements show that the store is slow.
func (k *kneeFinder) limit(now time.Time, maxTransfers int) int {
	k.init(maxTransfers)
	best := k.best(now)
	if best < 0 {
		return maxTransfers
	}
	isSlow := k.isSlow(k.levels[best])
	above := k.levels[best+1:]
	switch {
	case !isSlow && !slices.ContainsFunc(above, k.isSlow):
		return maxTransfers
	case isSlow && best > 0 && !k.levels[best-1].known(now):
		best--
	case len(above) > 0 && !above[0].known(now):
		best++
	}
	return k.levels[best].transfers
}

func (k *kneeFinder) isSlow(l level) bool { return l.speed > 0 && l.speed < slowRatio*k.fastest }

// best returns the smallest measured level with enough throughput, or -1 if no
// level has a valid measurement.
func (k *kneeFinder) best(now time.Time) int {
	best := 0.0
	for i := range k.levels {
		if k.levels[i].known(now) {
			best = max(best, k.levels[i].throughput())
		}
	}
	for i := range k.levels {
		if k.levels[i].known(now) && k.levels[i].throughput() >= enoughThroughput*best {
			return i
		}
	}
	return -1
}

func (l *level) throughput() float64 { return l.speed * float64(l.transfers) }

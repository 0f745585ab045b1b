package slots

import (
	"math/rand/v2"
	"time"

	"radishwell/core"
)

const (
	// maxStartInterval is the longest interval between two loads of an agent
	// without the decider as long as it has not measured a slow store. For 640
	// agents an equal share of 1.5 loads a second would be one load in seven
	// minutes.
	maxStartInterval = 30 * time.Second
	// minFactor bounds how far slow transfers lower the rate. With
	// maxStartInterval it leaves one load in eight minutes, about the equal
	// share of 640 agents.
	minFactor = 1.0 / 16
	// rateIncrease and rateDecrease are the factors for the agent's rate after
	// a fast and a slow transfer. One slow transfer undoes two fast ones,
	// because hosts that all increase their rate overload the store together.
	rateIncrease = 1.4
	rateDecrease = 0.5
)

// Local decides when an agent that cannot reach the decider may read from the
// store. It starts with the agent's equal share of the limits and adapts it to
// the transfer times that it measures. Usually few hosts load at once, so their
// shares are far too small; if the whole fleet loads at once, the shares are
// right. The exported fields are set before the first call. A Local is not safe
// for concurrent use.
type Local struct {
	// Rate, in loads per second, and Parallel, in concurrent transfers, are the
	// limits of the store. Agents is the number of agents that share it.
	Rate     float64
	Parallel int
	Agents   int
	Random   *rand.Rand

	// factor multiplies the share. It is 1 initially.
	factor    float64
	running   int
	nextStart time.Time
	fastest   float64
	delayed   bool
}

// Start reports whether a load may begin now. If not, it returns when to call
// it again.
func (l *Local) Start(now time.Time) (time.Time, bool) {
	l.init(now)
	if l.running >= l.maxRunning() {
		return now.Add(l.startInterval()), false
	}
	if now.Before(l.nextStart) {
		return l.nextStart, false
	}
	l.running++
	l.nextStart = now.Add(l.startInterval())
	return time.Time{}, true
}

// End records the end of a load that Start allowed and the duration of its
// transfer, which is zero if it failed.
func (l *Local) End(size core.Bytes, took time.Duration) {
	l.running = max(0, l.running-1)
	l.Observe(size, took)
	if took <= 0 || size <= 0 || speedOf(size, took) < slowRatio*l.fastest {
		l.scaleRate(rateDecrease)
		return
	}
	l.scaleRate(rateIncrease)
}

// Observe records the duration of a transfer that ran under a slot. Without it
// an agent that loses the decider under high load would take the speed of the
// overloaded store, the first that it measures, for the full speed.
func (l *Local) Observe(size core.Bytes, took time.Duration) {
	if took > 0 && size > 0 {
		l.fastest = max(l.fastest, speedOf(size, took))
	}
}

// Reset returns to the equal share. The agent calls it when it reaches the
// decider again. The best measured speed is kept.
func (l *Local) Reset() { l.factor, l.nextStart, l.delayed = 1, time.Time{}, false }

func speedOf(size core.Bytes, took time.Duration) float64 { return float64(size) / took.Seconds() }

// init delays the first load by a random part of the start interval, because
// all agents lose the decider at the same time and must not start together.
func (l *Local) init(now time.Time) {
	if l.delayed {
		return
	}
	l.delayed = true
	if l.factor == 0 {
		l.factor = 1
	}
	l.nextStart = now.Add(time.Duration(l.Random.Float64() * float64(l.startInterval())))
}

func (l *Local) scaleRate(by float64) {
	l.factor = min(max(l.factor*by, minFactor), float64(max(1, l.Agents)))
}

// startInterval returns the time between two starts, with jitter.
func (l *Local) startInterval() time.Duration {
	jitter := 0.5 + l.Random.Float64()
	if l.Rate <= 0 {
		return time.Duration(jitter * float64(time.Millisecond))
	}
	share := time.Duration(float64(max(1, l.Agents)) / l.Rate * float64(time.Second))
	return time.Duration(jitter * float64(min(share, maxStartInterval)) / l.factor)
}

// maxRunning returns the number of concurrent loads, at least one.
func (l *Local) maxRunning() int {
	return max(1, int(float64(l.Parallel)*l.factor/float64(max(1, l.Agents))))
}

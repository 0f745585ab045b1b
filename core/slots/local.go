package slots

import (
	"math/rand/v2"
	"time"

	"radishwell/core"
)

const (
	// trickle is the longest time between two loads that an agent starts by
	// itself before it has seen the store to be slow: with 640 agents a plain
	// share of 1.5 loads a second would be one load in seven minutes.
	trickle = 30 * time.Second
	// least bounds how far slow transfers lower the rate. From the trickle it
	// leaves one load in eight minutes, the plain share of 640 agents.
	least = 1.0 / 16
	// faster and slower change the agent's own rate: by what it sees, the store
	// has room, or it hasn't. They are chosen so that one slow transfer undoes
	// two good ones, as hosts that all speed up overload the store together.
	faster = 1.4
	slower = 0.5
)

// Local decides when an agent that can't reach the decider may read from the
// store. It starts from the agent's share of the limits and adapts to the
// transfer times it sees: usually few hosts load at once, so their shares are
// far too small; after a wake-up of the whole fleet they are right. Fields are
// set before the first call.
type Local struct {
	// Rate and Parallel are the limits of the store, Agents the number of agents
	// that share it.
	Rate     float64
	Parallel int
	Agents   int
	Random   *rand.Rand

	// factor multiplies the share; 1 at first.
	factor  float64
	running int
	next    time.Time
	fastest float64
	began   bool
}

// Start asks to begin a load now. If it may not, it returns when to ask again.
func (l *Local) Start(now time.Time) (time.Time, bool) {
	l.init(now)
	if l.running >= l.parallel() {
		return now.Add(l.pause()), false
	}
	if now.Before(l.next) {
		return l.next, false
	}
	l.running++
	l.next = now.Add(l.pause())
	return time.Time{}, true
}

// End notes the end of a load that Start allowed and how long its transfer
// took; zero where it failed.
func (l *Local) End(size core.Bytes, took time.Duration) {
	l.running = max(0, l.running-1)
	l.Learn(size, took)
	if took <= 0 || size <= 0 || speedOf(size, took) < slow*l.fastest {
		l.scale(slower)
		return
	}
	l.scale(faster)
}

// Learn notes the time of a transfer that ran under a slot. Without it an agent
// that loses the decider in a rush would take the crowded store's speed, the
// first it sees, for the full one.
func (l *Local) Learn(size core.Bytes, took time.Duration) {
	if took > 0 && size > 0 {
		l.fastest = max(l.fastest, speedOf(size, took))
	}
}

// Reset returns to the plain share; the agent calls it when it reaches the
// decider again. What was learnt of the store's speed stays.
func (l *Local) Reset() { l.factor, l.next, l.began = 1, time.Time{}, false }

func speedOf(size core.Bytes, took time.Duration) float64 { return float64(size) / took.Seconds() }

// init delays the first load by a random part of its pause: agents lose the
// decider at the same moment and must not all start with it.
func (l *Local) init(now time.Time) {
	if l.began {
		return
	}
	l.began = true
	if l.factor == 0 {
		l.factor = 1
	}
	l.next = now.Add(time.Duration(l.Random.Float64() * float64(l.pause())))
}

func (l *Local) scale(by float64) {
	l.factor = min(max(l.factor*by, least), float64(max(1, l.Agents)))
}

// pause is the time between two starts, with jitter.
func (l *Local) pause() time.Duration {
	jitter := 0.5 + l.Random.Float64()
	if l.Rate <= 0 {
		return time.Duration(jitter * float64(time.Millisecond))
	}
	share := time.Duration(float64(max(1, l.Agents)) / l.Rate * float64(time.Second))
	return time.Duration(jitter * float64(min(share, trickle)) / l.factor)
}

// parallel is the number of loads at once: at least one.
func (l *Local) parallel() int {
	return max(1, int(float64(l.Parallel)*l.factor/float64(max(1, l.Agents))))
}

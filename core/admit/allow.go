package admit

import (
	"math/rand/v2"
	"time"

	"radishwell/core"
)

// Unit is the unit of an allowance.
type Unit uint8

// The units of allowances.
const (
	Requests Unit = iota
	Tokens
)

// Allowance limits the use of a customer over all entries together.
type Allowance struct {
	// Rate is in units per second, and Burst is the number of units available
	// at once after a pause. A Rate of zero means no limit.
	Rate, Burst float64
	Unit        Unit
	// DefaultUnits is the cost of a request without token counts, for an
	// allowance of tokens.
	DefaultUnits float64
}

// Limited reports whether the allowance limits anything.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Cost returns the units that a request costs.
func (a Allowance) Cost(ask *core.RequestHead) float64 {
	switch {
	case a.Unit == Requests:
		return 1
	case !ask.TokensSent:
		return a.DefaultUnits
	}
	return float64(ask.Prompt + ask.Answer)
}

// Tolerance is by how much the platform lets a customer's use exceed its
// allowance in any window. It covers the use that entries cannot know of each
// other.
type Tolerance struct {
	Window time.Duration
	// Ratio is a part of the allowance of a window, and Slack is a number of
	// units in addition.
	Ratio, Slack float64
}

const (
	// steadyShare is the share of the tolerance that customers may use in
	// addition to the allowance of a window, so that random bursts are
	// admitted.
	steadyShare = 0.5
	// initialShare is the share of the tolerance that is available when
	// counting begins. The units admitted before that are unknown and may have
	// been the whole allowance.
	initialShare = 0.1
)

// bucketShape returns the rate and depth of a bucket that admits, over any
// window, the whole allowance of the window and a share of the tolerance. It
// also returns the initial level. A bucket with the rate and burst of the
// allowance would admit that much only after a pause, and less in each window
// under constant demand.
func (t Tolerance) bucketShape(a Allowance) (rate, depth, initial float64) {
	window := t.Window.Seconds()
	whole := a.Rate*window + a.Burst
	extra := t.Ratio*whole + t.Slack
	depth = max(a.Burst, steadyShare*extra)
	return (whole + steadyShare*extra - depth) / window, depth, initialShare * extra
}

// bucket is a token bucket. Its level rises by rate up to depth.
type bucket struct {
	level, rate, depth float64
	at                 time.Time
	// share is the share of the allowance on which rate and depth are based.
	share float64
	// allowDebt is set if a full bucket may admit a request of more units than
	// its depth, and its level then falls below zero. Otherwise a random draw
	// decides, because several entries with small shares would together admit
	// many times the allowance.
	allowDebt bool
	rng       *rand.Rand
}

// reshape changes rate and depth.
func (b *bucket) reshape(now time.Time, rate, depth float64) {
	b.refill(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// refill adds the units for the time that has passed. It does nothing if the
// clock went back.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.depth, b.level+b.rate*elapsed.Seconds())
		b.at = now
	}
}

// take takes units, or returns when they should be available.
func (b *bucket) take(now time.Time, units float64) (at time.Time, ok bool) {
	b.refill(now)
	need := min(units, b.depth)
	if b.level >= need {
		switch {
		case units <= b.depth || b.allowDebt:
			b.level -= units
			return now, true
		case b.level > units*b.rng.Float64():
			b.level = 0
			return now, true
		}
		b.level = 0
	}
	if b.rate <= 0 {
		return now.Add(maxWait), false
	}
	wait := (need - b.level) / b.rate
	return now.Add(min(maxWait, time.Duration(wait*float64(time.Second))+1)), false
}

// reserve takes one unit for the time at which it becomes available, if that is
// not after by. The level falls below zero by the units reserved ahead.
func (b *bucket) reserve(now, by time.Time) (at time.Time, ok bool) {
	b.refill(now)
	at = now
	if missing := 1 - b.level; missing > 0 {
		if missing > b.rate*maxWait.Seconds() {
			return now.Add(maxWait), false
		}
		at = now.Add(time.Duration(missing/b.rate*float64(time.Second)) + 1)
	}
	if at.After(by) {
		return at, false
	}
	b.level--
	return at, true
}

// refund returns units to the bucket.
func (b *bucket) refund(now time.Time, units float64) {
	b.refill(now)
	b.level = min(b.depth, b.level+units)
}

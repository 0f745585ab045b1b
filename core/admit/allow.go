package admit

import (
	"math/rand/v2"
	"time"

	"radishwell/core"
)

// Unit is what an allowance counts.
type Unit uint8

// Units of allowances.
const (
	Requests Unit = iota
	Tokens
)

// Allowance bounds what a customer may use over all entries together.
type Allowance struct {
	// Rate is units a second, Burst the units at once after a pause. Without a rate
	// there is no limit.
	Rate, Burst float64
	Unit        Unit
	// Plain is the units of a request that names no tokens.
	Plain float64
}

// Limited tells whether the allowance bounds anything.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Cost returns what a request counts.
func (a Allowance) Cost(ask *core.RequestHead) float64 {
	switch {
	case a.Unit == Requests:
		return 1
	case !ask.TokensSent:
		return a.Plain
	}
	return float64(ask.Prompt + ask.Answer)
}

// Tolerance is by how much the platform lets a customer's use exceed its allowance in
// any window, which is for what entries cannot know of each other.
type Tolerance struct {
	Window time.Duration
	// Ratio is a part of the allowance of a window, Slack units besides.
	Ratio, Slack float64
}

const (
	// steadyPart is the part of the tolerance that customers may use beside the allowance
	// of a window: requests that come together by chance are let in.
	steadyPart = 0.5
	// startPart is the part of the tolerance that is there when counting begins. What
	// entries let in before that is not known, and may have been all.
	startPart = 0.1
)

// shape returns the rate and depth of a bucket that lets in, over any window, the whole
// allowance of the window and a part of the tolerance, and its level when counting begins.
// A bucket of the allowance's own rate and burst would let in that much only after a
// pause, and less in each window in which a customer presses.
func (t Tolerance) shape(a Allowance) (rate, depth, start float64) {
	span := t.Window.Seconds()
	whole := a.Rate*span + a.Burst
	extra := t.Ratio*whole + t.Slack
	depth = max(a.Burst, steadyPart*extra)
	return (whole + steadyPart*extra - depth) / span, depth, startPart * extra
}

// bucket holds units that may be used. Its level rises by rate, up to depth.
type bucket struct {
	level, rate, depth float64
	at                 time.Time
	// part is the part of the allowance that rate and depth are of.
	part float64
	// owes tells that more units than depth may be taken from a full bucket, which then
	// owes them. Where it does not, a draw decides: several entries that each hold a
	// small part would together let in many times the whole.
	owes bool
	draw *rand.Rand
}

// set changes rate and depth.
func (b *bucket) set(now time.Time, rate, depth float64) {
	b.fill(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// fill lets time pass. A clock that goes back changes nothing.
func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.depth, b.level+b.rate*passed.Seconds())
		b.at = now
	}
}

// take takes units, and otherwise returns when they will be there.
func (b *bucket) take(now time.Time, units float64) (at time.Time, ok bool) {
	b.fill(now)
	need := min(units, b.depth)
	if b.level >= need {
		switch {
		case units <= b.depth || b.owes:
			b.level -= units
			return now, true
		case b.level > units*b.draw.Float64():
			b.level = 0
			return now, true
		}
		b.level = 0
	}
	if b.rate <= 0 {
		return now.Add(longestDrain), false
	}
	wait := (need - b.level) / b.rate
	return now.Add(min(longestDrain, time.Duration(wait*float64(time.Second))+1)), false
}

// reserve takes one unit for the moment at which it is there, if that comes by a time. The
// level may fall below zero by what is reserved ahead.
func (b *bucket) reserve(now, by time.Time) (at time.Time, ok bool) {
	b.fill(now)
	at = now
	if lacks := 1 - b.level; lacks > 0 {
		if lacks > b.rate*longestDrain.Seconds() {
			return now.Add(longestDrain), false
		}
		at = now.Add(time.Duration(lacks/b.rate*float64(time.Second)) + 1)
	}
	if at.After(by) {
		return at, false
	}
	b.level--
	return at, true
}

// put gives units back.
func (b *bucket) put(now time.Time, units float64) {
	b.fill(now)
	b.level = min(b.depth, b.level+units)
}

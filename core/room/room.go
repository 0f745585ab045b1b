package room

import (
	"math"
	"time"

	"radishwell/core"
)

// Engine is what is known of an engine at the time of a decision.
type Engine struct {
	Pace core.Pace
	// Rate is the number of prompt tokens that the engine reads in a millisecond.
	Rate float64
	// Ahead is the number of prompt tokens that the engine reads before the next prompt.
	Ahead int
	// Streams is the number of streams that the engine runs.
	Streams int
	// Reading is the fraction of time in which the engine read prompts lately.
	Reading float64
}

// Request is a request that may be sent to an engine.
type Request struct {
	// Prompt is the number of tokens that the engine has to read, and Answer the foreseen
	// number of tokens that it generates.
	Prompt, Answer int
	// Pause is the longest time between two events that callers accept; zero if any.
	Pause time.Duration
}

// Estimates are means, so that a gap near the accepted pause is too long in part of the cases. Below
// it too long ones are too rare to keep prompts away from a host.
const (
	surelyShort = 0.95
	surelyLong  = 1.25
)

// surelyFits and surelyFull bound what a request needs, as fractions of the free memory, between
// which it may or may not fit: the streams that run grow, and reports are some hundred
// milliseconds old.
const (
	surelyFits = 0.8
	surelyFull = 1.1
)

// FullChance returns the chance that a request does not fit into an engine's free prompt memory,
// both in tokens.
func FullChance(need, free int) float64 {
	if need <= 0 {
		return 0
	}
	if free <= 0 {
		return 1
	}
	return min(1, max(0, (float64(need)/float64(free)-surelyFits)/(surelyFull-surelyFits)))
}

// chance returns the chance that a gap with the given mean is longer than the accepted pause.
func chance(gap, pause time.Duration) float64 {
	if pause <= 0 {
		return 0
	}
	return min(1, max(0, (float64(gap)/float64(pause)-surelyShort)/(surelyLong-surelyShort)))
}

// gapAfter returns the longest gap in a stream while the engine reads the given number of
// prompt tokens without a break.
func (e *Engine) gapAfter(tokens int) time.Duration {
	span := time.Duration(float64(tokens) / e.Rate * float64(time.Millisecond))
	return min(e.Pace.ReadingEvent, e.Pace.Event+span)
}

// HeldUp returns the expected number of the engine's streams that pause for longer than
// accepted because of the request's prompt. The streams are assumed to be of callers who
// accept the same pause as the request's. Streams that pause for too long anyway, for the
// prompts ahead, do not count.
func (e *Engine) HeldUp(r Request) float64 {
	if e.Pace.ReadingEvent == 0 || e.Rate <= 0 || r.Prompt <= 0 || e.Streams <= 0 {
		return 0
	}
	more := chance(e.gapAfter(e.Ahead+r.Prompt), r.Pause) - chance(e.gapAfter(e.Ahead), r.Pause)
	return max(0, more) * float64(e.Streams)
}

// PauseChance returns the chance that the request's own answer pauses for longer than
// accepted, for the prompts that the engine reads meanwhile.
//
// A pause that is too long takes several prompts in a row, whose chance grows with the square
// of the time that the engine spends on reading, and with the duration of the answer.
func (e *Engine) PauseChance(r Request) float64 {
	long := chance(e.Pace.ReadingEvent, r.Pause)
	if long == 0 || e.Pace.EventTokens <= 0 || r.Answer <= 0 {
		return 0
	}
	duration := float64(e.Pace.Event) * float64(r.Answer) / float64(e.Pace.EventTokens)
	return long * (1 - math.Exp(-e.Reading*e.Reading*duration/float64(r.Pause)))
}

package core

import (
	"math"
	"time"
)

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// CompareBool orders false before true, with the result of cmp.Compare.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// CountIf returns 1 if a condition holds, otherwise 0.
func CountIf(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// Decay returns the fraction that is left of a quantity after a time if it falls to half in each
// half-life.
func Decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

package admit

import (
	"math"

	"radishwell/core"
)

// Share says which part of the limits this process enforces.
type Share struct {
	// Entries is the number of live entries that share the limits; values below
	// one stand for one.
	Entries int
	// Rank is this entry's place, from zero, in the sorted list of live entries.
	// The first entries of the list take what an even division leaves over.
	Rank int
}

// Bounds are the limits in force for one request.
type Bounds struct {
	Owner, Caller, Target, Service core.Limits
	Share                          Share
}

// count returns the part of a limit that is a count. Zero stays "no limit". A
// part is at least one: an entry that may let nothing through would refuse
// callers for ever whose balancer sends them to it. So a limit L at E entries
// adds up to max(L, E).
func (s Share) count(limit int) int {
	if limit <= 0 {
		return 0
	}
	entries := max(1, s.Entries)
	part := limit / entries
	if s.Rank < limit%entries {
		part++
	}
	return max(1, part)
}

// bytes returns the part of a limit in bytes. One request larger than the part
// still waits when nothing else does; see full.
func (s Share) bytes(limit core.Bytes) core.Bytes {
	if limit <= 0 {
		return 0
	}
	return max(1, limit/core.Bytes(max(1, s.Entries)))
}

// rate returns the part of a rate in requests a second.
func (s Share) rate(limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return limit / float64(max(1, s.Entries))
}

// burst returns the part of a burst. A rate without a burst allows one second's
// worth at once.
func (s Share) burst(l core.Limits) int {
	whole := l.Burst
	if whole <= 0 {
		whole = int(math.Ceil(l.Rate))
	}
	return s.count(max(1, whole))
}

package admit

import (
	"math"

	"radishwell/core"
)

// Share is this process's share of the limits.
type Share struct {
	// Entries is the number of live entries that share the limits. Values below
	// one count as one.
	Entries int
	// Rank is this entry's index in the sorted list of live entries. The first
	// entries of the list get the remainder of an even division.
	Rank int
}

// Bounds are the limits that apply to one request.
type Bounds struct {
	Owner, Caller, Target, Service core.Limits
	Share                          Share
}

// count returns the share of a count limit. Zero means no limit. A share is at
// least one, because an entry that admits nothing would refuse forever the
// callers that a load balancer sends to it. A limit L over E entries therefore
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

// bytes returns the share of a limit in bytes. A request larger than the share
// may still wait if nothing else does; see queueFull.
func (s Share) bytes(limit core.Bytes) core.Bytes {
	if limit <= 0 {
		return 0
	}
	return max(1, limit/core.Bytes(max(1, s.Entries)))
}

// rate returns the share of a rate in requests per second.
func (s Share) rate(limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return limit / float64(max(1, s.Entries))
}

// burst returns the share of a burst. A rate without a burst permits one
// second's worth of requests at once.
func (s Share) burst(l core.Limits) int {
	whole := l.Burst
	if whole <= 0 {
		whole = int(math.Ceil(l.Rate))
	}
	return s.count(max(1, whole))
}

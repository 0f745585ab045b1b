package turn

import "time"

// urgentMemory is how long after its last request a rank counts as asked for.
const urgentMemory = 5 * time.Second

// Ranks remembers the targets of the requests that come for one service, by rank. The zero Ranks
// is ready for use. It is not safe for concurrent use.
type Ranks struct{ seen map[int]rank }

type rank struct {
	target time.Duration
	at     time.Time
}

// Note records a request. Of the targets of a rank the shortest of late counts.
func (r *Ranks) Note(now time.Time, urgency int, target time.Duration) {
	if target <= 0 {
		return
	}
	if r.seen == nil {
		r.seen = map[int]rank{}
	}
	old, ok := r.seen[urgency]
	if ok && old.target < target && now.Sub(old.at) < urgentMemory {
		return
	}
	r.seen[urgency] = rank{target: target, at: now}
}

// Urgent returns the shortest target of requests that are more urgent, zero if none have come of
// late.
func (r *Ranks) Urgent(now time.Time, urgency int) (shortest time.Duration) {
	for other, s := range r.seen {
		if other >= urgency || now.Sub(s.at) >= urgentMemory {
			continue
		}
		if shortest == 0 || s.target < shortest {
			shortest = s.target
		}
	}
	return shortest
}

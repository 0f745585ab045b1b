package retry

import (
	"time"

	"radishwell/core"
)

// Standstill tells how long requests may have been on their way that a process reads after it stood
// still. The zero value is ready for use. It is not safe for concurrent use.
type Standstill struct {
	// last is when the process last ran, and from until when it stood still. What arrived meanwhile is
	// read by until.
	last, from, until time.Time
}

const (
	// maxRunGap is the longest time between two calls of Run in which a process does not count as
	// standing still.
	maxRunGap = 300 * time.Millisecond
	// maxBacklog bounds the age of requests that are read by a process that stands still again and
	// again: their callers have left.
	maxBacklog = 5 * time.Second
)

// Run records that the process runs. It is called more often than every maxRunGap.
func (s *Standstill) Run(now time.Time) {
	if gap := now.Sub(s.last); gap > maxRunGap && !s.last.IsZero() {
		if s.last.Before(s.until) {
			s.from = core.Earlier(s.last, core.Later(s.from, now.Add(-maxBacklog)))
		} else {
			s.from = s.last
		}
		s.until = now.Add(gap)
	}
	s.last = now
}

// SentSince returns the earliest time at which a request may have been sent that is read now.
func (s *Standstill) SentSince(now time.Time) time.Time {
	switch {
	case now.Before(s.until):
		return s.from
	case now.Sub(s.last) > maxRunGap && !s.last.IsZero():
		return s.last
	}
	return now
}

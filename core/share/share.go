package share

import (
	"time"

	"radishwell/core"
)

const (
	// MaxAge is the age of its list of the processes up to which a process uses its whole part.
	MaxAge = 30 * time.Second
	// joinTime is how long a process that joins waits for those that do not respond. It is longer than
	// MaxAge by how late a process that stood still may read the list.
	joinTime = 2 * MaxAge
)

// Share is one process's part of a whole. Processes that are gone keep counting in it, since they may
// only be out of touch. The exported fields are set before use. A Share is not safe for concurrent use.
type Share struct {
	Self  core.HostName
	Whole float64

	// others are the other processes that were ever known; true if they count this one, as those do
	// that joined after it.
	others map[core.HostName]bool
	// listed is when the list of the processes last had no newer change, and joined when that was
	// first so and the list had this process; zero before.
	listed, joined time.Time
	// incomplete is set if the first list may have lacked processes.
	incomplete bool
}

// Count counts another process, whoever named it.
func (s *Share) Count(other core.HostName) {
	if other == s.Self || other == "" {
		return
	}
	if s.others == nil {
		s.others = map[core.HostName]bool{}
	}
	if _, ok := s.others[other]; !ok {
		s.others[other] = !s.joined.IsZero()
	}
}

// List records that all processes that had joined by the given time are counted, this one among
// them. If the list was ever restored from a copy, it may lack processes that joined after the copy and
// have been out of touch since.
func (s *Share) List(at time.Time, restored bool) {
	if s.joined.IsZero() {
		s.joined, s.incomplete = at, restored
	}
	s.listed = core.Later(s.listed, at)
}

// Confirm records that another process, asked since this one is in the list, counts it. What it was asked
// before is not known to a successor, which learns of this one from the list.
func (s *Share) Confirm(other core.HostName) {
	if _, ok := s.others[other]; ok && !s.joined.IsZero() {
		s.others[other] = true
	}
}

// Uncounted returns the processes that are to be asked to count this one, in no particular order; none
// before this one is in the list.
func (s *Share) Uncounted() []core.HostName {
	if s.joined.IsZero() {
		return nil
	}
	var out []core.HostName
	for name, counts := range s.others {
		if !counts {
			out = append(out, name)
		}
	}
	return out
}

// Part returns this process's part now. It is zero until all others count this process or may not be in
// touch. It is half of the whole divided by all that are known, while this process may not know all others or
// one that is not in touch may not count it: the halves of both, and the parts of those that know all, sum to
// no more than the whole.
func (s *Share) Part(now time.Time) float64 {
	part := s.Whole / float64(len(s.others)+1)
	uncertain := s.incomplete || len(s.Uncounted()) > 0
	switch {
	case s.joined.IsZero(), uncertain && now.Sub(s.joined) <= joinTime:
		return 0
	case uncertain, now.Sub(s.listed) > MaxAge:
		return part / 2
	}
	return part
}

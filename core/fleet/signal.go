package fleet

import "time"

// mostUnlisted is how many lives that the registry does not list are remembered by their
// signals.
const mostUnlisted = 256

// LeaveAge is how long a host's signal that it leaves counts: by then it has left.
const LeaveAge = 10 * time.Minute

// signals are what one life of a host says of itself in its answers. They outlast the
// host's entry in the registry, which lapses while the store is out and comes back.
type signals struct {
	rateLimit
	// leavingSince is when the host first said that it leaves, zero while it has not.
	leavingSince time.Time
	// backoffUntil is until when the host wants no requests of this process, having
	// turned one away.
	backoffUntil time.Time
}

// BackingOff tells whether the host wants no requests of this process, and until when.
func (s *signals) BackingOff(now time.Time) (until time.Time, ok bool) {
	return s.backoffUntil, now.Before(s.backoffUntil)
}

// NoteBackoff takes in until when the host wants no requests of this process, and tells
// whether it took them until now.
func (s *signals) NoteBackoff(now, until time.Time) bool {
	_, already := s.BackingOff(now)
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	return !already && now.Before(until)
}

// LeavingFor returns for how long the host is known to say, in its answers, that it
// leaves; false where it does not.
func (s *signals) LeavingFor(now time.Time) (age time.Duration, ok bool) {
	age = now.Sub(s.leavingSince)
	if s.leavingSince.IsZero() || age >= LeaveAge {
		return 0, false
	}
	return age, true
}

// NoteLeaving takes in that a life of a host says it leaves, and tells whether that is
// news.
func (v *View) NoteLeaving(now time.Time, life Life) bool {
	s := v.signalsOf(life)
	if _, ok := s.LeavingFor(now); ok {
		return false
	}
	s.leavingSince = now
	v.changes++
	return true
}

// signalsOf returns the signals of a life, whether the registry lists it or not.
func (v *View) signalsOf(life Life) *signals {
	v.init()
	s := v.signals[life]
	if s == nil {
		s = &signals{}
		v.signals[life] = s
		v.noteUnlisted(life)
	}
	return s
}

// noteUnlisted remembers the signals of a life that the registry does not list, for some
// time more.
func (v *View) noteUnlisted(life Life) {
	v.unlisted = append(v.unlisted, life)
	if len(v.unlisted) <= mostUnlisted {
		return
	}
	oldest := v.unlisted[0]
	v.unlisted = v.unlisted[1:]
	if h := v.hosts[oldest.ID]; h == nil || h.Born != oldest.Born {
		delete(v.signals, oldest)
	}
}

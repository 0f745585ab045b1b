package fleet

import "time"

// mostUnlisted is how many lives that the registry does not list are remembered by their
// signals.
const mostUnlisted = 1024

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

// NoteBackoff takes in until when a life of a host wants no requests of this process, and
// tells whether it took them until now.
func (v *View) NoteBackoff(life Life, now, until time.Time) bool {
	if !now.Before(until) {
		return false
	}
	s := v.signalsOf(life)
	_, already := s.BackingOff(now)
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	return !already
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
func (v *View) NoteLeaving(life Life, now time.Time) bool {
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
		v.remember(life)
	}
	return s
}

// unlist forgets a life that the registry does not list any more, unless it has given
// signals: it may come back.
func (v *View) unlist(life Life) {
	if *v.signals[life] == (signals{}) {
		delete(v.signals, life)
		return
	}
	v.remember(life)
}

// remember keeps the signals of a life as long as it is among the last that were not
// listed.
func (v *View) remember(life Life) {
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

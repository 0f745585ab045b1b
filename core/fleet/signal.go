package fleet

import (
	"slices"
	"time"
)

// maxUnlisted bounds the incarnations that the registry does not list whose signals are
// kept.
const maxUnlisted = 1024

// LeavingTTL is how long a host's signal that it is leaving is kept. By then it has left.
const LeavingTTL = 10 * time.Minute

// signals is the state that one incarnation of a host reports in its answers. It is kept
// longer than the host's entry in the registry, which lapses during an outage of the store
// and comes back.
type signals struct {
	rateLimit
	// leavingSince is when the host first reported that it is leaving, zero if it has not.
	leavingSince time.Time
	// backoffUntil is the time until which the host wants no requests of this process,
	// after it has refused one.
	backoffUntil time.Time
}

// BackingOff reports whether the host wants no requests of this process, and until when.
func (s *signals) BackingOff(now time.Time) (until time.Time, ok bool) {
	return s.backoffUntil, now.Before(s.backoffUntil)
}

// NoteBackoff records the time until which an incarnation of a host wants no requests of
// this process, and reports whether this begins a new backoff.
func (v *View) NoteBackoff(inc Incarnation, now, until time.Time) bool {
	if !now.Before(until) {
		return false
	}
	s := v.signalsOf(inc)
	_, already := s.BackingOff(now)
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
	return !already
}

// LeavingFor returns for how long the host has reported in its answers that it is leaving,
// false if it has not.
func (s *signals) LeavingFor(now time.Time) (age time.Duration, ok bool) {
	age = now.Sub(s.leavingSince)
	if s.leavingSince.IsZero() || age >= LeavingTTL {
		return 0, false
	}
	return age, true
}

// NoteLeaving records that an incarnation of a host reports that it is leaving, and reports
// whether that is new.
func (v *View) NoteLeaving(inc Incarnation, now time.Time) bool {
	s := v.signalsOf(inc)
	if _, ok := s.LeavingFor(now); ok {
		return false
	}
	s.leavingSince = now
	v.changes++
	return true
}

// signalsOf returns the signals of an incarnation, whether or not the registry lists it.
func (v *View) signalsOf(inc Incarnation) *signals {
	v.init()
	s := v.signals[inc]
	if s == nil {
		s = &signals{}
		v.signals[inc] = s
		if h := v.hosts[inc.ID]; h == nil || h.Born != inc.Born {
			v.retain(inc)
		}
	}
	return s
}

// list returns the signals of an incarnation that the registry lists from now on. They are kept until unlist.
func (v *View) list(inc Incarnation) *signals {
	s := v.signalsOf(inc)
	v.unlisted = slices.DeleteFunc(v.unlisted, func(o Incarnation) bool { return o == inc })
	return s
}

// unlist drops the signals of an incarnation that the registry no longer lists, unless some
// are set, since its entry may come back.
func (v *View) unlist(inc Incarnation) {
	if *v.signals[inc] == (signals{}) {
		delete(v.signals, inc)
		return
	}
	v.retain(inc)
}

// retain keeps the signals of an incarnation that is not listed, as long as it is among the last maxUnlisted
// of these.
func (v *View) retain(inc Incarnation) {
	v.unlisted = append(v.unlisted, inc)
	if len(v.unlisted) > maxUnlisted {
		delete(v.signals, v.unlisted[0])
		v.unlisted = v.unlisted[1:]
	}
}

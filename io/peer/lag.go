package peer

import (
	"time"

	"radishwell/core"
)

// lagTime is how long a replica lacks a change before that is told: most changes are on
// their way for some hundred milliseconds.
const lagTime = time.Second

// Lag is a replica that lacks a change which another process has named.
type Lag struct {
	Kind core.Kind
	// Held is the newest version held, Named the newest that was named.
	Held, Named core.Version
	// Since is when the first version that is lacking was named, Fresh when the platform
	// said last that the replica lacked nothing.
	Since, Fresh time.Time
	// Over tells that the change is there now.
	Over bool
}

// lagState is what is known of the changes that a replica lacks.
type lagState struct {
	named core.Version
	// since is when the first of the versions that are lacking was named, zero where none is.
	since time.Time
	told  bool
}

// name takes in the newest version that another process has.
func (l *lagState) name(named, held core.Version, now time.Time) {
	l.named = max(l.named, named)
	if l.named > held && l.since.IsZero() {
		l.since = now
	}
}

// noteLag tells of a replica that has lacked a change for lagTime, and of one that has
// it again. The caller holds mu.
func (s *Store) noteLag(kind core.Kind, k *kindState) {
	if k.lag.since.IsZero() {
		return
	}
	now := s.Clock.Now()
	lag := Lag{Kind: kind, Held: k.Newest(), Named: k.lag.named, Since: k.lag.since, Fresh: k.fresh}
	lag.Over = lag.Held >= lag.Named
	tell := k.lag.told
	switch {
	case lag.Over:
		k.lag.since, k.lag.told = time.Time{}, false
	case !tell && now.Sub(lag.Since) >= lagTime:
		tell, k.lag.told = true, true
	default:
		tell = false
	}
	if tell && s.Behind != nil {
		s.Behind(lag)
	}
}

// Lag returns for how long the replica of a kind has lacked a change that another
// process named; zero where it lacks none.
func (s *Store) Lag(kind core.Kind) time.Duration {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil || k.lag.since.IsZero() {
		return 0
	}
	return s.Clock.Now().Sub(k.lag.since)
}

package peer

import (
	"time"

	"radishwell/core"
)

// lagTime is how long a replica has to lack a change to be reported.
const lagTime = time.Second

// Lag is a replica that lacks a change which another process has named.
type Lag struct {
	Kind core.Kind
	// Held is the newest version held, Named the one that is lacking.
	Held, Named core.Version
	// Since is when that was named, Fresh when the platform said last that the replica
	// lacked nothing.
	Since, Fresh time.Time
	// Over tells that the change is there now.
	Over bool
}

// lagState is what is known of the changes that a replica lacks.
type lagState struct {
	// named is the version that is lacking and was named first, newest the newest of all.
	named, newest core.Version
	// since is when named was named, zero where nothing is lacking.
	since time.Time
	told  bool
}

// name takes in the newest version that another process has.
func (l *lagState) name(version, held core.Version, now time.Time) {
	l.newest = max(l.newest, version)
	if l.since.IsZero() && l.newest > held {
		l.named, l.since = l.newest, now
	}
}

// noteLag reports a replica that has lacked a change for lagTime, and again when it has
// caught up. The caller holds mu.
func (s *Store) noteLag(kind core.Kind, k *kindState) {
	l := &k.lag
	if l.since.IsZero() {
		return
	}
	now, held, told := s.Clock.Now(), k.Newest(), l.told
	lag := Lag{Kind: kind, Held: held, Named: l.named, Since: l.since, Fresh: k.fresh, Over: held >= l.named}
	if lag.Over {
		l.since, l.told = time.Time{}, false
		l.name(l.newest, held, now)
	} else {
		l.told = told || now.Sub(l.since) >= lagTime
	}
	if s.Behind != nil && (lag.Over && told || l.told && !told) {
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

package peer

import (
	"time"

	"radishwell/core"
)

// lagThreshold is how long a replica must lack a change before the lag is reported.
const lagThreshold = time.Second

// Lag describes a replica that lacks a change of which another process has reported the
// version.
type Lag struct {
	Kind core.Kind
	// Held is the newest version in the replica, Missing the version that it lacks.
	Held, Missing core.Version
	// Since is when Missing was first reported. FreshAt is when the platform last
	// confirmed, to this process or a peer, that the replica lacked nothing.
	Since, FreshAt time.Time
	// ExchangedAt is when the last exchange with a peer succeeded, zero if none did, and
	// FailedExchanges the number of those that have failed since.
	ExchangedAt     time.Time
	FailedExchanges int
	// Downloading names the payload that is being downloaded, and DownloadingSince is when its
	// first part was requested; empty and zero if there is none.
	Downloading      string
	DownloadingSince time.Time
	// CaughtUp is set once the replica has the change.
	CaughtUp bool
}

// lagState tracks the changes that a replica lacks.
type lagState struct {
	// missing is the first version reported among those that the replica lacks, newest
	// the largest version reported.
	missing, newest core.Version
	// since is when missing was reported; zero if the replica lacks nothing.
	since time.Time
	// reported is set if the lag was passed to Store.OnLag.
	reported bool
}

// observe records the newest version that another process holds.
func (l *lagState) observe(version, held core.Version, now time.Time) {
	l.newest = max(l.newest, version)
	if l.since.IsZero() && l.newest > held {
		l.missing, l.since = l.newest, now
	}
}

// updateLag reports a replica that has lacked a change for lagThreshold, and again when
// the replica has caught up. The caller holds mu.
func (s *Store) updateLag(kind core.Kind, k *kindState) {
	l := &k.lag
	if l.since.IsZero() {
		return
	}
	now, held, wasReported := s.Clock.Now(), k.Newest(), l.reported
	lag := Lag{
		Kind: kind, Held: held, Missing: l.missing, Since: l.since, FreshAt: k.freshAt, CaughtUp: held >= l.missing,
		ExchangedAt: s.exchangedAt, FailedExchanges: s.failedExchanges,
	}
	if d := k.downloading; d != nil {
		lag.Downloading, lag.DownloadingSince = d.id.String(), d.began
	}
	if lag.CaughtUp {
		l.since, l.reported = time.Time{}, false
		l.observe(l.newest, held, now)
	} else {
		l.reported = wasReported || now.Sub(l.since) >= lagThreshold
	}
	if s.OnLag != nil && (lag.CaughtUp && wasReported || l.reported && !wasReported) {
		s.OnLag(lag)
	}
}

// Lag returns how long the replica of a kind has lacked a change that another process
// reported; zero if it lacks none.
func (s *Store) Lag(kind core.Kind) time.Duration {
	_, lag := s.Missing(kind)
	return lag
}

// Missing returns the newest version that another process reported and the replica of a kind
// lacks, and how long the replica has lacked a change; zero if it lacks none.
func (s *Store) Missing(kind core.Kind) (core.Version, time.Duration) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil || k.lag.since.IsZero() {
		return 0, 0
	}
	return k.lag.newest, s.Clock.Now().Sub(k.lag.since)
}

package stale

import (
	"cmp"
	"errors"
	"time"

	"radishwell/core"
	"radishwell/io/events"
	"radishwell/io/meter"
	"radishwell/io/peer"
)

// Export exports the lag and age of a store's replicas to the meter, and logs replicas that
// are behind. It must be called before the store is used.
func Export(m *meter.Meter, s *peer.Store) {
	s.OnLag = func(l peer.Lag) { logLag(s.Clock.Now(), l) }
	s.OnArrival = func(a peer.Arrival) {
		m.ReplicaArrival(a.Kind, a.Way.String(), cmp.Or(a.Named, a.At), a.At)
		logArrival(a)
	}
	for _, kind := range s.Kinds {
		m.ReplicaLag(kind, func() time.Duration { return s.Lag(kind) })
		m.ReplicaAge(kind, func() time.Duration { return Age(s, kind) })
	}
}

func logLag(now time.Time, l peer.Lag) {
	if l.CaughtUp {
		events.Log(events.ReplicaCaughtUp, "kind", l.Kind, "revision", l.Held, "after", now.Sub(l.Since))
		return
	}
	pairs := []any{
		"kind", l.Kind, "revision", l.Held, "named", l.Missing, "since", now.Sub(l.Since), "platform-word-age", ageOf(l.FreshAt, now),
		"exchange-age", ageOf(l.ExchangedAt, now), "exchanges-failed", l.FailedExchanges,
	}
	if l.Downloading != "" {
		pairs = append(pairs, "downloading", l.Downloading, "downloading-for", now.Sub(l.DownloadingSince))
	}
	events.Log(events.ReplicaBehind, pairs...)
}

// logArrival logs the way of a routing table, from when another process named it, step by step.
// The other kinds change too often for a line each.
func logArrival(a peer.Arrival) {
	if a.Kind != core.KindTable {
		return
	}
	pairs := []any{"kind", a.Kind, "revision", a.Version, "way", a.Way, "from", a.From, "bytes", a.Size}
	if !a.Named.IsZero() {
		pairs = append(pairs, "named", a.At.Sub(a.Named))
	}
	if !a.Offered.IsZero() {
		pairs = append(pairs, "offered", a.At.Sub(a.Offered), "downloading-for", a.At.Sub(a.Began), "received", a.Received)
	}
	events.Log(events.ChangeArrived, pairs...)
}

// LogFailure logs a failed call to a peer. If data arrived on the connection during the
// call, the reply may have been cut off, which has a separate event.
func LogFailure(err error) {
	var callErr *peer.CallError
	if errors.As(err, &callErr) && callErr.Read > 0 {
		events.Fail(events.TransferCut, err, "bytes", callErr.Read)
		return
	}
	events.Fail(events.PeerUnreachable, err)
}

// Age returns the time since the platform last confirmed that a replica lacks nothing, or
// a negative value if it never did.
func Age(s *peer.Store, kind core.Kind) time.Duration {
	return ageOf(s.Status(kind).FreshAt, s.Clock.Now())
}

// IsOlder reports whether the platform last confirmed a replica longer ago than limit, or never
// did.
func IsOlder(s *peer.Store, kind core.Kind, limit time.Duration) bool {
	age := Age(s, kind)
	return age < 0 || age > limit
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

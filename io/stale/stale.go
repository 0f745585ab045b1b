package stale

import (
	"errors"
	"time"

	"radishwell/core"
	"radishwell/io/events"
	"radishwell/io/meter"
	"radishwell/io/peer"
)

// Feed exports the lag and age of a store's replicas to the meter, and logs replicas that are
// behind. It has to be called before the store is used.
func Feed(m *meter.Meter, s *peer.Store) {
	s.Behind = func(l peer.Lag) { tell(s.Clock.Now(), l) }
	for _, kind := range s.Kinds {
		m.ReplicaLag(kind, func() time.Duration { return s.Lag(kind) })
		m.ReplicaAge(kind, func() time.Duration { return Age(s, kind) })
	}
}

func tell(now time.Time, l peer.Lag) {
	if l.Over {
		events.Log(events.ReplicaCaughtUp, "kind", l.Kind, "revision", l.Held, "after", now.Sub(l.Since))
		return
	}
	events.Log(events.ReplicaBehind, "kind", l.Kind, "revision", l.Held, "named", l.Named, "since", now.Sub(l.Since),
		"platform-word-age", ageOf(l.Fresh, now))
}

// Failed logs a failed call of a peer. One that ended while its answer arrived has an event of
// its own.
func Failed(err error) {
	var cut *peer.CallError
	if errors.As(err, &cut) && cut.Read > 0 {
		events.Fail(events.TransferCut, err, "bytes", cut.Read)
		return
	}
	events.Fail(events.PeerUnreachable, err)
}

// Age returns the age of the platform's last word that a replica lacks nothing, negative
// where there was none.
func Age(s *peer.Store, kind core.Kind) time.Duration {
	return ageOf(s.Status(kind).Fresh, s.Clock.Now())
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

package fleet

import (
	"slices"
	"time"

	"radishwell/core"
)

const (
	// endedTTL is how long an ended incarnation is remembered. The registry lists it until
	// its entry lapses, which takes a few heartbeats of 1.2 seconds; if the registry still
	// names it after that, it has not ended.
	endedTTL = 10 * time.Second
	// maxEnded bounds the number of ended incarnations. A host that restarts every second
	// reaches it.
	maxEnded = 8
)

// Incarnation identifies one run of a host, from its start to its end, by the host's ID
// and, if the host reports it, its start time in milliseconds since the Unix epoch: an ID
// can be reused after a restart.
type Incarnation struct {
	ID   core.HostName
	Born int64
}

// Matches reports whether an upstream that states its id and start time may be this incarnation:
// either may not be known.
func (i Incarnation) Matches(id core.HostName, born int64) bool {
	return (id == "" || id == i.ID) && (born == 0 || i.Born == 0 || born == i.Born)
}

// IncarnationTracker tracks the running incarnation of a host, from the entries that the
// registry lists, for the agent of a host whose own reports do not name it.
//
// A restarted host is listed under a new name at once, while its old entry lapses only
// seconds later. If the agent kept the old name, the host would refuse all of its orders,
// and entries would go on sending requests and planning loads for the old name.
//
// The zero IncarnationTracker is ready for use. It is not safe for concurrent use.
type IncarnationTracker struct {
	current Incarnation
	ended   []endedIncarnation
}

type endedIncarnation struct {
	Incarnation
	until time.Time
}

// Current returns the running incarnation's ID, empty if none is known.
func (t *IncarnationTracker) Current() core.HostName { return t.current.ID }

// NoteReported records the incarnation that the host itself reports. It takes precedence
// over what the registry lists.
func (t *IncarnationTracker) NoteReported(inc Incarnation) { t.current = inc }

// NoteListed records the incarnation that the registry lists, and reports whether it is a
// new one. An incarnation that has ended is ignored until endedTTL has passed.
func (t *IncarnationTracker) NoteListed(now time.Time, inc Incarnation) bool {
	t.forget(now)
	hasEnded := func(e endedIncarnation) bool { return e.Incarnation == inc }
	if inc.ID == "" || inc == t.current || slices.ContainsFunc(t.ended, hasEnded) {
		return false
	}
	t.current = inc
	return true
}

// End records that the current incarnation has ended: the host was restarted, or it refused
// a message that was addressed to that incarnation.
func (t *IncarnationTracker) End(now time.Time) {
	if t.current.ID == "" {
		return
	}
	t.ended = append(t.ended, endedIncarnation{Incarnation: t.current, until: now.Add(endedTTL)})
	t.ended = t.ended[max(0, len(t.ended)-maxEnded):]
	t.current = Incarnation{}
}

// Ended returns the IDs of the recently ended incarnations that have no start time, oldest
// first. An ID that has start times may be in use again, and the start times distinguish
// its incarnations.
func (t *IncarnationTracker) Ended(now time.Time) []core.HostName {
	t.forget(now)
	var out []core.HostName
	for _, e := range t.ended {
		if e.Born == 0 {
			out = append(out, e.ID)
		}
	}
	return out
}

func (t *IncarnationTracker) forget(now time.Time) {
	t.ended = slices.DeleteFunc(t.ended, func(e endedIncarnation) bool { return !now.Before(e.until) })
}

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

// Incarnation identifies one incarnation of a host by its ID and, if the host reports it,
// its start time in milliseconds since the Unix epoch, since an ID can be reused after a
// restart.
type Incarnation struct {
	ID   core.HostName
	Born int64
}

// IncarnationTracker tracks the running incarnation of a host, from the entries that the
// registry lists, for the agent beside a host whose own reports do not name it.
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
func (l *IncarnationTracker) Current() core.HostName { return l.current.ID }

// NoteReported records the incarnation that the host itself reports. It takes precedence
// over what the registry lists.
func (l *IncarnationTracker) NoteReported(inc Incarnation) { l.current = inc }

// NoteListed records the incarnation that the registry lists, and reports whether it is a
// new one. An incarnation that has ended is ignored until endedTTL has passed.
func (l *IncarnationTracker) NoteListed(now time.Time, inc Incarnation) bool {
	l.forget(now)
	over := func(e endedIncarnation) bool { return e.Incarnation == inc }
	if inc.ID == "" || inc == l.current || slices.ContainsFunc(l.ended, over) {
		return false
	}
	l.current = inc
	return true
}

// End records that the current incarnation has ended: the host was restarted, or it refused
// a message that was addressed to that incarnation.
func (l *IncarnationTracker) End(now time.Time) {
	if l.current.ID == "" {
		return
	}
	l.ended = append(l.ended, endedIncarnation{Incarnation: l.current, until: now.Add(endedTTL)})
	l.ended = l.ended[max(0, len(l.ended)-maxEnded):]
	l.current = Incarnation{}
}

// Ended returns the IDs of the recently ended incarnations that have no start time, oldest
// first. An ID with start times may be running again, and its incarnations are told apart
// by them.
func (l *IncarnationTracker) Ended(now time.Time) []core.HostName {
	l.forget(now)
	var out []core.HostName
	for _, e := range l.ended {
		if e.Born == 0 {
			out = append(out, e.ID)
		}
	}
	return out
}

func (l *IncarnationTracker) forget(now time.Time) {
	l.ended = slices.DeleteFunc(l.ended, func(e endedIncarnation) bool { return !now.Before(e.until) })
}

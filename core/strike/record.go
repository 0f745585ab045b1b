package strike

import (
	"cmp"
	"time"

	"radishwell/core"
)

// TTL is how long a strike counts after its crash. It outlasts a caller's
// repeats by hand, and an innocent request that was struck three times by
// chance is free again within the session.
const TTL = 30 * time.Minute

// Record is what one agent saw against one fingerprint. A Record with an empty
// Source is a clear mark: it voids all records of its fingerprint that expire
// no later than it.
type Record struct {
	Fingerprint core.Fingerprint
	// Source is the agent's host.
	Source core.HostName
	// Count is the number of engines that died with the fingerprint in flight,
	// Alone the number of them where nothing else was.
	Count uint32
	Alone uint32
	// Passed is the number of times it ran alone to a good end.
	Passed uint32
	// Expires is TTL after the last of the strikes.
	Expires time.Time
}

// newer tells whether r is to replace old, which has the same fingerprint and
// source. Only its source changes a record, and each time to a later expiry;
// so the maximum is the latest, whatever order the records arrive in, and a
// count that started again after a clear isn't raised by an old one.
func (r Record) newer(old Record) bool {
	if c := r.Expires.Compare(old.Expires); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(r.Count, old.Count); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(r.Alone, old.Alone); c != 0 {
		return c > 0
	}
	return r.Passed > old.Passed
}

// Standing is what is held against a fingerprint.
type Standing uint8

// Standings.
const (
	// Clean: nothing counts against it.
	Clean Standing = iota
	// Suspect: it may run alone.
	Suspect
	// Quarantined: it is refused.
	Quarantined
	standingCount
)

var standingNames = [standingCount]string{"clean", "suspect", "quarantined"}

// String returns the standing's name.
func (s Standing) String() string {
	if s >= standingCount {
		return "unknown"
	}
	return standingNames[s]
}

const (
	// quarantineAfter is the number of engines lost with a fingerprint in flight
	// that quarantines it, if it never passed. Since a suspect runs alone, only
	// identical requests that were in flight on several engines before the first
	// crash was known reach it without a trial. One that has passed goes on
	// running alone until its strikes expire: that holds the loss where a request
	// crashes only together with others, and refuses no innocent one.
	quarantineAfter = 3
	// quarantineAlone is the number that suffices when it was alone in one of
	// them. A single crash doesn't suffice: hosts and engines die for other
	// reasons, and then an innocent long request would be refused.
	quarantineAlone = 2
)

// Finding is all that is held against one fingerprint.
type Finding struct {
	Fingerprint          core.Fingerprint
	Standing             Standing
	Count, Alone, Passed uint32
	// Expires is when the last strike expires.
	Expires time.Time
}

func (f *Finding) judge() {
	switch {
	case f.Count >= quarantineAlone && f.Alone > 0:
		f.Standing = Quarantined
	case f.Count >= quarantineAfter && f.Passed == 0:
		f.Standing = Quarantined
	case f.Count >= quarantineAfter, f.Count > f.Passed:
		f.Standing = Suspect
	}
}

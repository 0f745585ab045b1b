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
// no later than it. One with neither Count nor Passed says that the fingerprint
// ended well at its source before it was struck.
type Record struct {
	Fingerprint core.Fingerprint
	// Source is the host of the agent, or of the entry that knows it to end well.
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
	// that quarantines it without a trial, if it is not known to end well. Since
	// a suspect runs alone, only identical requests that were in flight on
	// several engines before the first crash was known get there.
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
	// Known tells that it had ended well, by itself or in company, before it was
	// struck. A prompt that many callers share is in every batch, so three
	// crashes of others would else quarantine it.
	Known bool
	// Expires is when the last strike expires.
	Expires time.Time
}

// passesNeeded is how often a fingerprint has to pass before it runs in company
// again: 1 after one strike, then 3, 6, 10. It grows because a request may
// crash engines only in company, and would pass every trial in between.
func passesNeeded(strikes uint32) uint32 { return strikes * (strikes + 1) / 2 }

func (f *Finding) judge() {
	passes := f.Passed
	if f.Known {
		passes++
	}
	switch {
	case f.Count >= quarantineAlone && f.Alone > 0:
		f.Standing = Quarantined
	case f.Count >= quarantineAfter && passes == 0:
		f.Standing = Quarantined
	case passes < passesNeeded(f.Count):
		f.Standing = Suspect
	}
}

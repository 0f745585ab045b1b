package strike

import (
	"cmp"
	"time"

	"radishwell/core"
)

// TTL is how long a strike counts. It is longer than a caller's manual repeats,
// and short enough that an innocent request with three strikes by chance is
// accepted again within the session.
const TTL = 30 * time.Minute

// Record holds what one process knows against or for one fingerprint. A Record
// with an empty Source is a clear mark: it voids all records of its fingerprint
// that expire no later than it. A Record with neither Count nor Passed says that
// the fingerprint had ended well at its source before its strikes.
type Record struct {
	Fingerprint core.Fingerprint
	// Source is the host of the agent, or of the entry where it had ended well.
	Source core.HostName
	// Count is the number of engines that crashed with the fingerprint in flight,
	// Alone the number of those with no other request in flight, or none that may crash
	// engines (Trials), and Late the number of those where its answer had gone on for some
	// time.
	Count, Alone, Late uint32
	// Passed is the number of times it ran alone and ended well.
	Passed uint32
	// Granted is the number of trials granted at the upstream, and Void that of those in which the request did
	// not run, on managed platforms.
	Granted, Void uint32
	// Expires is TTL after the last of the strikes, or of the trials granted.
	Expires time.Time
}

// trials returns the number of trials at an upstream in which the request may have run.
func (r Record) trials() uint32 { return max(r.Granted-min(r.Granted, r.Void), r.Alone) }

// supersedes reports whether r replaces old, which has the same fingerprint and
// source. Only its source changes a record, and each change has a later expiry. So
// the maximum is the latest record, in whatever order they arrive, and a count
// that started again after a clear mark isn't raised by an old record.
func (r Record) supersedes(old Record) bool {
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

// join returns what two records of one upstream say together: processes that had copies of a request
// there may have seen different things, and not all know of a crash. It is commutative, associative and idempotent.
func (r Record) join(old Record) Record {
	if r.Count == 0 && old.Count > 0 {
		r, old = old, r
	}
	if old.Count > 0 || r.Count == 0 { // otherwise the time and the stage are those of the crash
		r.Late = min(r.Late, old.Late)
		r.Expires = core.Later(r.Expires, old.Expires)
	}
	r.Count = max(r.Count, old.Count)
	r.Alone = max(r.Alone, old.Alone)
	r.Passed = max(r.Passed, old.Passed)
	r.Granted, r.Void = max(r.Granted, old.Granted), max(r.Void, old.Void)
	return r
}

// crashedAt returns when the upstream crashed, for a record of one crash.
func (r Record) crashedAt() time.Time { return r.Expires.Add(-TTL) }

// Standing is the state of a fingerprint that results from its records.
type Standing uint8

// Standings.
const (
	// Clean: no records count against it.
	Clean Standing = iota
	// Suspect: it may only run alone.
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

// quarantineCrashesAlone is the number of crashes that quarantines a fingerprint if it was alone in
// one of them. A single crash doesn't suffice: hosts and engines die for other reasons, and an
// innocent long request would then be refused. Nor do any number in company: several engines may
// die for one other reason, with copies of a request at each.
const quarantineCrashesAlone = 2

// Finding is the sum of the records of one fingerprint.
type Finding struct {
	Fingerprint core.Fingerprint
	Standing    Standing
	// Count, Alone, Late and Passed are the sums of those of the records, and Trials is that of the trials in
	// which the request may have run.
	Count, Alone, Late, Passed, Trials uint32
	// Known is set if it had ended well, alone or not, before its strikes. It counts as a pass:
	// a prompt that many callers share is in every batch.
	Known bool
	// MayTry is set if it is to run in a trial where one is granted at once (Trials), and TryLong if
	// the trial lasts until its answer is complete. Both are for managed platforms.
	MayTry, TryLong bool
	// TryAt is when the next trial may begin, on managed platforms.
	TryAt time.Time
	// Expires is when the last strike expires.
	Expires time.Time
}

// passesNeeded returns how often a fingerprint must pass before it may run with
// others again: 1 after one strike, then 3, 6, 10. The number grows because a
// request may crash engines only together with others, and would pass every trial
// in between.
func passesNeeded(strikes uint32) uint32 { return strikes * (strikes + 1) / 2 }

func (f *Finding) setStanding() {
	passes := f.Passed
	if f.Known {
		passes++
	}
	switch {
	case f.Count >= quarantineCrashesAlone && f.Alone > 0:
		f.Standing = Quarantined
	case passes < passesNeeded(f.Count):
		f.Standing = Suspect
	}
}

package fleet

import (
	"time"

	"radishwell/core"
	"radishwell/core/parts"
)

const (
	// brokenOffTTL is how long after an attempt broke off the end of its host's incarnation
	// still counts as the cause. The registry lists a crashed host for a few heartbeats of
	// 1.2 seconds.
	brokenOffTTL = 10 * time.Second
	// probeGap is the least time between two probes of an incarnation.
	probeGap = 500 * time.Millisecond
)

// BrokenOff is an attempt at a request that broke off.
type BrokenOff struct {
	Fingerprint core.Fingerprint
	// Parts are the shared parts of its prompt, nil if the attempt had begun some time before:
	// the host has not crashed because of it.
	Parts []parts.Name
	// Began is when the first event of its answer arrived from the host, zero if none had. Late is
	// set if the answer had gone on for some time since.
	Began time.Time
	Late  bool
	// Tried is set if the request ran in a trial, and TriedParts are the parts of its prompt that
	// did.
	Tried      bool
	TriedParts []parts.Name
	At         time.Time
}

// brokenOff holds the attempts that broke off at one incarnation of a host, until it is known
// whether the host has crashed or only closed a connection.
type brokenOff struct {
	attempts []BrokenOff
	// refused is set once the incarnation has refused a connection.
	refused bool
	// probeAt is when the incarnation may be probed again.
	probeAt, expires time.Time
}

// NoteBrokenOff records that an attempt broke off, and reports whether the host should be probed
// for a crash. An incarnation that leaves ends as planned, whatever it runs,
// so attempts there are ignored.
func (v *View) NoteBrokenOff(now time.Time, inc Incarnation, a BrokenOff) (probe bool) {
	v.init()
	if h := v.hosts[inc.ID]; h != nil && h.Born == inc.Born && h.IsLeaving(now) {
		return false
	}
	b := v.brokenOff[inc]
	if b == nil {
		b = &brokenOff{}
		v.brokenOff[inc] = b
	}
	b.attempts, b.expires = append(b.attempts, a), now.Add(brokenOffTTL)
	if v.hasCrashed(now, inc, b) || b.probeAt.After(now) {
		return false
	}
	b.probeAt = now.Add(probeGap)
	return true
}

// NoteRefused records that an incarnation refused a connection, as the system does for a
// process that has ended.
func (v *View) NoteRefused(inc Incarnation) {
	if b := v.brokenOff[inc]; b != nil {
		b.refused = true
	}
}

// TakeCrashed returns the attempts that broke off at incarnations that are now known to have
// crashed, and forgets them.
func (v *View) TakeCrashed(now time.Time) map[Incarnation][]BrokenOff {
	var out map[Incarnation][]BrokenOff
	for inc, b := range v.brokenOff {
		if len(b.attempts) > 0 && v.hasCrashed(now, inc, b) {
			if out == nil {
				out = map[Incarnation][]BrokenOff{}
			}
			out[inc], b.attempts = b.attempts, nil
		}
		if !b.expires.After(now) {
			delete(v.brokenOff, inc)
		}
	}
	return out
}

// hasCrashed reports whether an incarnation that was not leaving when attempts broke off there
// has ended.
func (v *View) hasCrashed(now time.Time, inc Incarnation, b *brokenOff) bool {
	h := v.hosts[inc.ID]
	return b.refused || h == nil || h.Born != inc.Born || h.HasEnded() || h.IsUnreachable(now)
}

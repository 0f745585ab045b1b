package fleet

import (
	"time"

	"radishwell/core"
)

const (
	// restoreGrace is how long after a restore of the registry an incarnation that had gone
	// before is not used although it is listed. The platform removes the entry of a host that
	// no longer writes it after three heartbeats of 1.2 seconds.
	restoreGrace = 5 * time.Second
	// goneTTL is how long a removed incarnation is remembered. Copies from which the registry
	// is restored are some seconds old.
	goneTTL = time.Minute
)

// goneHost is an incarnation whose registry entry was removed.
type goneHost struct {
	// era is the era of the registry in which it was removed.
	era   uint64
	until time.Time
}

// Era returns how often the registry had been restored when it was last read.
func (v *View) Era() uint64 { return v.era }

// NoteRestore records that the registry was restored from a copy, which began an era. Hosts
// whose entries the copy lacks are kept for a short time, since they write them again, as
// after an outage.
func (v *View) NoteRestore(now time.Time, era uint64) {
	v.init()
	v.era, v.restoredAt, v.lastStoreFailure = era, now, now
	clear(v.recorded)
}

// remember remembers that the entry of an incarnation was removed.
func (v *View) remember(now time.Time, inc Incarnation) {
	for old, g := range v.gone {
		if !now.Before(g.until) {
			delete(v.gone, old)
		}
	}
	v.gone[inc] = goneHost{era: v.era, until: now.Add(goneTTL)}
}

// isRevived reports whether a new entry may be only the copy's: its incarnation was removed
// in an earlier era. Such a host may be about to end, so it gets no requests until it has
// written its entry again, or the platform has had the time to remove it.
func (v *View) isRevived(e Entry) bool {
	g, ok := v.gone[Incarnation{ID: e.ID, Born: e.Born}]
	return ok && core.Version(e.Revision).Era() > g.era
}

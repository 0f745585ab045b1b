package replic

import "radishwell/core"

// Delta is a part of the history of one kind.
type Delta struct {
	// A partial delta has the latest state of every object that changed after From up to
	// Through, and may have later ones. A replica that is complete through From or beyond
	// is complete through Through after merging it.
	From    core.Version
	Through core.Version
	// Full is set if the delta does not depend on From: it lists every object that exists
	// at Through, and all others have been deleted.
	Full bool
	// Objects are in ascending order of version in partial deltas.
	Objects []core.Object
}

// Empty reports whether the delta has nothing new for a replica that is complete through
// From.
func (d Delta) Empty() bool { return !d.Full && len(d.Objects) == 0 && d.Through <= d.From }

// ListDelta returns the delta for a list of the platform.
func ListDelta(l core.Listing) Delta {
	return Delta{Through: l.Version, Full: true, Objects: l.Objects}
}

// WatchDelta returns the delta for a watch event. From is the version of the previous
// event, or the version that the watch started from.
func WatchDelta(from core.Version, c core.Change) Delta {
	d := Delta{From: from, Through: max(from, c.Object.Version)}
	if !c.Bookmark {
		d.Objects = []core.Object{c.Object}
	}
	return d
}

package replic

import "radishwell/core"

// Delta is a piece of the history of one kind.
type Delta struct {
	// A partial delta has the latest state of every object that changed after
	// From up to Through, and may have later ones. Whoever has everything
	// through From or beyond has everything through Through after it.
	From    core.Version
	Through core.Version
	// Full says that the delta does not depend on From: it names every object
	// there is at Through. What it does not name was deleted.
	Full bool
	// Objects are in the order of their versions in partial deltas.
	Objects []core.Object
}

// Empty tells whether the delta brings nothing to one who is at From.
func (d Delta) Empty() bool { return !d.Full && len(d.Objects) == 0 && d.Through <= d.From }

// ListDelta is the delta of the platform's list.
func ListDelta(l core.Listing) Delta {
	return Delta{Through: l.Version, Full: true, Objects: l.Objects}
}

// WatchDelta is the delta of one watch event. From is the version of the event
// before it, or the version that the watch started from.
func WatchDelta(from core.Version, c core.Change) Delta {
	d := Delta{From: from, Through: max(from, c.Object.Version)}
	if !c.Bookmark {
		d.Objects = []core.Object{c.Object}
	}
	return d
}

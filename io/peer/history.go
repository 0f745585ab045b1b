package peer

import (
	"radishwell/core"
	"radishwell/core/replic"
)

const (
	// maxOldVersions bounds the replaced versions that are kept of an object, and maxOldBytes the
	// bytes of those of a kind.
	maxOldVersions = 16
	maxOldBytes    = 6 << 20
)

// history holds replaced versions of large objects of a kind, oldest first. Peers that hold one of
// them get a patch instead of the newest specification.
type history struct {
	objects []core.Object
	bytes   int
}

// keep remembers the objects that a delta will replace.
func (h *history) keep(r *replic.Replica, d replic.Delta) {
	for _, o := range d.Objects {
		held, ok := r.Get(o.Name)
		if !ok || len(held.Spec) < largeSpec || held.Version >= o.Version {
			continue
		}
		h.objects = append(h.objects, held)
		h.bytes += len(held.Spec)
		for len(h.objects) > 0 && (h.bytes > maxOldBytes || h.count(o.Name) > maxOldVersions) {
			h.bytes -= len(h.objects[0].Spec)
			h.objects = h.objects[1:]
		}
	}
}

func (h *history) count(name string) int {
	n := 0
	for _, o := range h.objects {
		n += core.CountIf(o.Name == name)
	}
	return n
}

// version returns a version of an object, from the replica or from the replaced ones.
func (k *kindState) version(name string, v core.Version) (core.Object, bool) {
	if o, ok := k.Get(name); ok && o.Version == v {
		return o, true
	}
	for _, o := range k.history.objects {
		if o.Name == name && o.Version == v {
			return o, true
		}
	}
	return core.Object{}, false
}

// lastBefore returns the newest replaced version of an object up to a version, zero if there is
// none.
func (k *kindState) lastBefore(name string, most core.Version) core.Version {
	var last core.Version
	for _, o := range k.history.objects {
		if o.Name == name && o.Version <= most {
			last = max(last, o.Version)
		}
	}
	return last
}

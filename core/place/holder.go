package place

import (
	"slices"

	"radishwell/core"
)

// Held returns a host's state in a grant, and false if it is no holder. An
// agent may load a model only while the newest version it knows has it active,
// and only after it has read that kind from the platform itself since it
// started: a peer's copy may be older than a release its predecessor made.
func Held(spec core.GrantSpec, id HostID) (core.GrantState, bool) {
	for _, h := range spec.Holders {
		if h.Host == id.Host && h.UID == id.UID {
			return h.State, true
		}
	}
	return "", false
}

// Release returns the grant without a host that has unloaded the model, for an
// update conditional on the version that spec was read at. It returns false
// unless the host is a revoked holder.
//
// A host releases only what is revoked. So a release that is still on its way
// when its sender dies can do no harm: a successor that reads the same version
// loads nothing, and any version that grants the host anew makes the release
// fail its condition.
func Release(spec core.GrantSpec, id HostID) (core.GrantSpec, bool) {
	state, ok := Held(spec, id)
	if !ok || state != core.GrantRevoked {
		return core.GrantSpec{}, false
	}
	spec.Holders = slices.DeleteFunc(slices.Clone(spec.Holders), func(h core.GrantHolder) bool {
		return h.Host == id.Host && h.UID == id.UID
	})
	return spec, true
}

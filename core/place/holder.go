package place

import (
	"slices"

	"radishwell/core"
)

// HolderState returns the state of a host in a grant, and false if the host is not
// a holder. An agent may load a model only while the newest version of the grant
// that it knows has the host active, and only after it has read the grants from
// the platform itself since it started: the copy of a peer may be older than a
// release by the agent's previous process.
func HolderState(spec core.GrantSpec, id HostID) (core.GrantState, bool) {
	for _, h := range spec.Holders {
		if h.Host == id.Host && h.UID == id.UID {
			return h.State, true
		}
	}
	return "", false
}

// Release returns the grant without a host that has unloaded the model, for an
// update conditional on the version at which spec was read. It returns false
// unless the host is a revoked holder.
//
// Only a revoked holder can be released, so a release that is still in flight when
// its sender dies does no harm: a successor that reads the same version loads
// nothing, and any version that grants the host again makes the condition of the
// release fail.
func Release(spec core.GrantSpec, id HostID) (core.GrantSpec, bool) {
	state, ok := HolderState(spec, id)
	if !ok || state != core.GrantRevoked {
		return core.GrantSpec{}, false
	}
	spec.Holders = slices.DeleteFunc(slices.Clone(spec.Holders), func(h core.GrantHolder) bool {
		return h.Host == id.Host && h.UID == id.UID
	})
	return spec, true
}

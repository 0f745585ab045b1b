package origin

import (
	"slices"

	"radishwell/core"
)

// Known is what an entry that has no record of a stream knows of the versions at which it may have
// begun.
type Known struct {
	// Versions are the software versions of listed hosts, and of those that have gone of late.
	Versions []core.SoftwareVersion
	// Confirmed is set if the platform's record was read after the caller came: Versions then
	// include that at which the stream began.
	Confirmed bool
	// Loaded is set if the platform's record has been read since the entry started.
	Loaded bool
}

// Single returns the version at which the stream began if only one is possible.
func (k Known) Single() (core.SoftwareVersion, bool) {
	if len(k.Versions) != 1 || !k.Confirmed {
		return "", false
	}
	return k.Versions[0], true
}

// Add adds versions at which the stream may have begun.
func (k *Known) Add(versions []core.SoftwareVersion) {
	k.Versions = slices.Compact(slices.Sorted(slices.Values(slices.Concat(k.Versions, versions))))
}

// Join returns the version at which the stream began if only one is possible, with what others have
// answered that have no record either. If the platform cannot be read, the answers of the greater part of
// the fleet confirm the versions, and the agents' records tell those that both do not see listed yet.
func (k Known) Join(asked core.OriginAnswer) (core.SoftwareVersion, bool) {
	k.Add(asked.Versions)
	k.Confirmed = asked.Answered && (k.Loaded || asked.Recorded)
	return k.Single()
}

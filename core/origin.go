package core

import "context"

// SoftwareVersion is the version of an upstream's software, which is not that of the
// weights it holds; empty if the platform does not state it.
type SoftwareVersion string

// StreamOrigin identifies the software that made the first event of a stream. What two
// versions write does not fit together, so only this version can continue the stream.
type StreamOrigin struct {
	Service  ServiceName
	Software SoftwareVersion
	// Host is the incarnation that made the event, by its ID and the start time of its process,
	// as in the registry; Born is zero if the registry states none.
	Host HostName
	Born int64
}

// SoftwareMatch tells how the version of a host relates to that which began a stream.
type SoftwareMatch uint8

// Relations of versions.
const (
	SoftwareUnknown SoftwareMatch = iota
	SoftwareSame
	SoftwareOther
)

// String returns the relation's name.
func (m SoftwareMatch) String() string {
	return [...]string{"unknown", "same", "other"}[m]
}

// Match returns how the version at which another stream begins relates to that of o.
func (o StreamOrigin) Match(other StreamOrigin) SoftwareMatch {
	switch {
	case o == (StreamOrigin{}):
		return SoftwareUnknown
	case o.Service == other.Service && o.Software == other.Software:
		return SoftwareSame
	}
	return SoftwareOther
}

// OriginAnswer is what other entries know of where a stream began.
type OriginAnswer struct {
	// Origin is valid if Found is set.
	Origin StreamOrigin
	Found  bool
	// Versions are the software versions at which streams of the service may have begun, as
	// far as the entries asked know.
	Versions []SoftwareVersion
	// Recorded is set if Versions include those of the platform's record.
	Recorded bool
	// Answered is set if so many of the processes that were asked have answered that the asker is in touch
	// with the fleet, and Complete if all have.
	Answered, Complete bool
}

// SoftwareRecord is the platform's record of the software versions at which streams may have begun.
// It outlives all processes.
type SoftwareRecord interface {
	// Add returns once the record has a version of a service, and reports whether it has. It
	// returns false at once while the platform cannot be written.
	Add(ctx context.Context, service ServiceName, version SoftwareVersion) bool
	// Refresh reads the record, and reports whether it could be read since Refresh was called.
	Refresh(ctx context.Context) bool
	// Loaded reports whether the record has been read since this process started, and since it last
	// stood still: versions may have come meanwhile that it does not know.
	Loaded() bool
}

// StreamOrigins exchanges with other entries, and with agents, where streams began.
type StreamOrigins interface {
	// Share has the new records of this entry sent to others at once.
	Share()
	// Find asks other processes where the stream of a service began whose first event an
	// attempt brought.
	Find(ctx context.Context, attempt RequestID, service ServiceName) OriginAnswer
}

// SavedOrigins are the platform's records of where streams began. They outlive all processes.
type SavedOrigins interface {
	// Find reads where the stream began whose first event an attempt brought. The answer is
	// complete if the platform could be read; while it cannot, Find returns at once.
	Find(ctx context.Context, attempt RequestID) OriginAnswer
}

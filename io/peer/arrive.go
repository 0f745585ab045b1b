package peer

import (
	"time"

	"radishwell/core"
)

// Way says how a change reached a replica.
type Way uint8

// Ways of changes.
const (
	// WayUnknown is that of objects that this process has written itself.
	WayUnknown Way = iota
	// WayList is a list of the platform.
	WayList
	// WayWatch is a watch of the platform.
	WayWatch
	// WayExchange is an exchange with a peer.
	WayExchange
	// WayDownload is a download from peers.
	WayDownload
)

var wayNames = [...]string{"own-write", "list", "watch", "exchange", "download"}

// String returns the name of the way in logs and metrics.
func (w Way) String() string { return wayNames[w] }

// Arrival describes how a version of an object reached the replica.
type Arrival struct {
	Kind    core.Kind
	Name    string
	Version core.Version
	Way     Way
	// From is the peer that sent the object or the end of the download; empty if it came from
	// the platform.
	From core.HostName
	// At is when the replica had the object.
	At time.Time
	// Named is when another process first named the version, or a newer one that the replica
	// lacked; zero if none did.
	Named time.Time
	// Offered is when a peer first offered the download, and Began when its first part was
	// requested; zero if there was no download.
	Offered, Began time.Time
	// Size is the size of the specification in bytes, and Received the number of bytes that were
	// downloaded for it.
	Size, Received int
}

// arrived completes an arrival with one object of a delta and reports it. The caller holds mu.
func (s *Store) arrived(a Arrival, o core.Object, l *lagState) {
	if s.OnArrival == nil || o.Deleted {
		return
	}
	a.Kind, a.Name, a.Version, a.Size, a.At = o.Kind, o.Name, o.Version, len(o.Spec), s.Clock.Now()
	if !l.since.IsZero() && o.Version >= l.missing {
		a.Named = l.since
	}
	s.OnArrival(a)
}

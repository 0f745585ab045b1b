package core

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RequestID identifies one request from acceptance to answer. The entry that
// accepts the request chooses it; it is never reused.
type RequestID string

// ModelName names a model or an adapter. Both share one namespace, since
// callers ask for either in the same field.
type ModelName string

// ServiceName names a set of upstream hosts that run the same software: model
// engines or a plain service.
type ServiceName string

// OwnerName names an owner in the catalogue.
type OwnerName string

// CallerName names one holder of a bearer key, unique within its owner.
type CallerName string

// HostName names an entry or upstream host in the platform's list of hosts. For
// an upstream host of a managed platform it is the ID in the platform's
// registry, which may change with each incarnation.
type HostName string

// DataCentre names a data centre; Region a group of them.
type (
	DataCentre string
	Region     string
)

// Version is a resource version of the platform's object API. Versions of one
// kind of object grow with every write; zero means that none has been seen.
//
// A platform that counts how often its store was restored from a copy has versions
// of an era and a revision. The store gives out revisions again after a restore, so
// the era comes first in the order.
type Version uint64

// revisionBits is the number of bits of a Version that hold the revision. Those
// above hold the era.
const revisionBits = 40

// VersionOf returns the version of a revision in an era of the platform's store.
func VersionOf(era, revision uint64) Version {
	return Version(era<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns how often the platform's store had been restored when it gave out the
// version.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the platform's own number of the version, which is unique within
// its era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// Fence is a fencing number. It grows with every change of the lease's holder.
// An order is stale if its receiver has seen a larger number than the order
// carries.
type Fence uint64

// Incarnation identifies one run of a process. It is drawn at random at each
// start, so that a restarted process is never taken for its predecessor.
type Incarnation uint64

// Fingerprint is a hash of a request's content. It is equal if the request is
// repeated under another id.
type Fingerprint uint64

// FingerprintOf returns the hash of a request's parts, such as its method, path and
// body. Each part is preceded by its length, so that different splits of the same
// bytes differ.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(p))))
		_, _ = h.Write(p)
	}
	return Fingerprint(h.Sum64())
}

// String returns the fingerprint as operators see it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses a fingerprint as String returns it, with or without leading zeros.
func ParseFingerprint(text string) (Fingerprint, bool) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, false
	}
	return Fingerprint(f), true
}

// Names converts strings to names. It returns nil for an empty slice.
func Names[N ~string](texts []string) []N { return convert[N](texts) }

// Strings converts names to strings. It returns nil for an empty slice.
func Strings[N ~string](names []N) []string { return convert[string](names) }

func convert[T, F ~string](from []F) []T {
	if len(from) == 0 {
		return nil
	}
	to := make([]T, len(from))
	for i, s := range from {
		to[i] = T(s)
	}
	return to
}

package core

import "context"

// Kind is a kind of object in the platform's object API.
type Kind string

// Kinds of objects. The first four make up the catalogue, which operators edit.
// The platform maintains the hosts, radishwell the rest.
const (
	KindModel   Kind = "models"
	KindAdapter Kind = "adapters"
	KindOwner   Kind = "owners"
	KindService Kind = "services"
	KindHost    Kind = "hosts"
	KindGrant   Kind = "grants"
	KindLease   Kind = "leases"
	KindClaim   Kind = "claims"
)

// Kinds of a managed platform: its routing table and its registry of upstream
// hosts, and the records that radishwell maintains: each agent's start, the
// demand for models, the address of each entry, for each data centre the leases
// on the engines without agents, the requests that crash upstreams, the latest
// crashes, the software versions at which streams may have begun, and where streams began
// while there were several versions.
const (
	KindTable      Kind = "config"
	KindRegistry   Kind = "servers"
	KindAgent      Kind = "radishwell-agents"
	KindDemand     Kind = "radishwell-demand"
	KindEntry      Kind = "radishwell-entries"
	KindOrders     Kind = "radishwell-orders"
	KindQuarantine Kind = "radishwell-quarantine"
	KindCrashes    Kind = "radishwell-crashes"
	KindSoftware   Kind = "radishwell-software"
	KindOrigins    Kind = "radishwell-origins"
)

// CatalogueKinds lists the kinds that operators edit.
func CatalogueKinds() []Kind { return []Kind{KindOwner, KindService, KindModel, KindAdapter} }

// Object is one object of the platform. Spec and Status are JSON documents.
type Object struct {
	Kind Kind
	Name string
	// UID differs between an object and one created later under the same name.
	UID string
	// Version is the object's resource version. An update applies only if the
	// stored object still has this version.
	Version Version
	// Generation grows with each change of Spec.
	Generation int64
	Spec       []byte
	Status     []byte
	// Deleted marks a tombstone: the object was deleted at Version.
	Deleted bool
}

// Listing is the result of List: all objects of a kind as of Version.
type Listing struct {
	Objects []Object
	Version Version
}

// Change is one event of a watch.
type Change struct {
	// Object is the new state; Deleted is set for a deletion.
	Object Object
	// Bookmark is set for an event that only reports progress: all changes up to
	// Object.Version have been delivered.
	Bookmark bool
}

// Watch is a running watch of one kind.
type Watch interface {
	// Next blocks until the next change. Its errors are PlatformErrors; after an
	// error the watch is over.
	Next(ctx context.Context) (Change, error)
	// Close ends the watch.
	Close()
}

// Platform is the platform's object API. All errors are PlatformErrors.
type Platform interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Get returns one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create adds an object. It fails with Exists if the name is taken.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces Spec if the object is still at o.Version. Otherwise it fails
	// with Conflict.
	Update(ctx context.Context, o Object) (Object, error)
	// UpdateStatus replaces Status if the object is still at o.Version.
	UpdateStatus(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if it is still at version.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// Watch reports the changes of a kind after from. It fails with Gone if the
	// platform no longer has the changes since from.
	Watch(ctx context.Context, kind Kind, from Version) (Watch, error)
}

// PlatformFault classifies the failure of a call to the platform.
type PlatformFault uint8

// Faults of platform calls.
const (
	// Unavailable: the call certainly had no effect, because it was refused or
	// exceeded the budget of calls.
	Unavailable PlatformFault = iota
	// Unknown: the call may or may not have taken effect.
	Unknown
	// Conflict: the object no longer has the version that the call is conditional
	// on.
	Conflict
	// Exists: an object of this name exists already.
	Exists
	// NotFound: there is no object of this name.
	NotFound
	// Gone: the platform no longer has the changes since the given version.
	Gone
	// Invalid: the platform rejected the object as invalid.
	Invalid
	platformFaultCount
)

var platformFaultNames = [platformFaultCount]string{
	"unavailable", "unknown", "conflict", "exists", "not-found", "gone", "invalid",
}

// String returns the fault's name.
func (f PlatformFault) String() string {
	if f >= platformFaultCount {
		return "unknown"
	}
	return platformFaultNames[f]
}

// PlatformError is the error of every Platform call.
type PlatformError struct {
	Fault PlatformFault
	Kind  Kind
	Name  string
	// Cause is the transport's error, if there was one.
	Cause error
}

// Error implements error.
func (e *PlatformError) Error() string {
	s := "platform " + e.Fault.String() + ": " + string(e.Kind) + "/" + e.Name
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }

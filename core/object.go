package core

import "context"

// Kind is a kind of object in the platform's object API.
type Kind string

// Kinds of objects. The first four are the catalogue, which operators edit;
// hosts belong to the platform; the rest are the system's own.
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

// Kinds of a managed platform: its routing table, the registry of upstream
// hosts, and the system's own records: of each agent's start, of how much models are
// asked for, and of where each entry takes calls,
// and the leases on the engines without agents of each data centre.
const (
	KindTable    Kind = "config"
	KindRegistry Kind = "servers"
	KindAgent    Kind = "radishwell-agents"
	KindDemand   Kind = "radishwell-demand"
	KindEntry    Kind = "radishwell-entries"
	KindOrders   Kind = "radishwell-orders"
)

// CatalogueKinds lists the kinds that operators edit.
func CatalogueKinds() []Kind { return []Kind{KindOwner, KindService, KindModel, KindAdapter} }

// Object is one object of the platform. Spec and Status are JSON documents.
type Object struct {
	Kind Kind
	Name string
	// UID differs between an object and one created later under its name.
	UID string
	// Version is the object's resource version. In an update it is the version
	// the update is conditional on.
	Version Version
	// Generation counts changes of Spec.
	Generation int64
	Spec       []byte
	Status     []byte
	// Deleted marks a tombstone: the object was deleted at Version.
	Deleted bool
}

// Listing is the answer to List: all objects of a kind as of Version.
type Listing struct {
	Objects []Object
	Version Version
}

// Change is one event of a watch.
type Change struct {
	// Object is the new state; Deleted is set for a deletion.
	Object Object
	// Bookmark marks an event that carries only progress: everything up to
	// Object.Version has been delivered.
	Bookmark bool
}

// Watch is a running watch of one kind.
type Watch interface {
	// Next blocks for the next change. Its errors are PlatformErrors; after one
	// the watch is over.
	Next(ctx context.Context) (Change, error)
	// Close ends the watch.
	Close()
}

// Platform is the object API. All errors are PlatformErrors.
type Platform interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Listing, error)
	// Get returns one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Create adds an object; Exists where the name is taken.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces Spec if the object is still at o.Version; Conflict if not.
	Update(ctx context.Context, o Object) (Object, error)
	// UpdateStatus replaces Status if the object is still at o.Version.
	UpdateStatus(ctx context.Context, o Object) (Object, error)
	// Delete removes an object if it is still at version.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// Watch reports changes of a kind after from; Gone where from is too old.
	Watch(ctx context.Context, kind Kind, from Version) (Watch, error)
}

// PlatformFault classes what can go wrong with a call to the platform.
type PlatformFault uint8

// Faults of platform calls.
const (
	// Unavailable: the call certainly had no effect (refused or over budget).
	Unavailable PlatformFault = iota
	// Unknown: the call may or may not have taken effect.
	Unknown
	// Conflict: the object has moved on from the version named.
	Conflict
	// Exists: the name to create is taken.
	Exists
	// NotFound: no object of that name.
	NotFound
	// Gone: the version to watch from is no longer held.
	Gone
	// Invalid: the platform rejects the object.
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

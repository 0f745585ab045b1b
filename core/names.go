package core

// RequestID identifies one request from acceptance to answer. It is chosen by
// the entry that accepts the request and never used again.
type RequestID string

// ModelName names a model or an adapter. Both share one namespace, since
// callers ask for either in the same field.
type ModelName string

// ServiceName names a set of upstream hosts of one kind: model engines or a
// plain service.
type ServiceName string

// OwnerName names an owner in the catalogue.
type OwnerName string

// CallerName names one holder of a bearer key, unique within its owner.
type CallerName string

// HostName names an entry or upstream host in the platform's list.
type HostName string

// DataCentre names a data centre; Region a group of them.
type (
	DataCentre string
	Region     string
)

// Version is a resource version of the platform's object API. Versions of one
// kind grow with every write; zero means "none seen".
type Version uint64

// Fence is a fencing number. It grows with every change of holder; an order
// that carries a smaller one than its receiver has seen is stale.
type Fence uint64

// Incarnation tells the lives of one process apart. It is drawn at random at
// each start, so that a restarted process is never taken for its predecessor.
type Incarnation uint64

// Fingerprint is a hash over target and body of a request, equal for a
// repetition of the same request by the same or another caller.
type Fingerprint uint64

// Names makes names of texts; nil of none.
func Names[N ~string](texts []string) []N { return convert[N](texts) }

// Texts makes texts of names; nil of none.
func Texts[N ~string](names []N) []string { return convert[string](names) }

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

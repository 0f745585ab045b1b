package core

import "net/netip"

// Limits bounds what an owner, model or service may use. A zero field sets no
// limit of its own.
type Limits struct {
	// Replicas is the maximum number of hosts that hold the model at once.
	Replicas int `yaml:"replicas,omitempty" json:"replicas,omitempty"`
	// Concurrency is the maximum number of requests in flight.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	// Rate and Burst configure a token bucket: Rate is the number of requests
	// accepted per second, Burst the number accepted at once after a pause.
	Rate  float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	Burst int     `yaml:"burst,omitempty" json:"burst,omitempty"`
	// Queue is the maximum number of waiting requests, QueueBytes their maximum
	// total size.
	Queue      int   `yaml:"queue,omitempty" json:"queue,omitempty"`
	QueueBytes Bytes `yaml:"queue-bytes,omitempty" json:"queue-bytes,omitempty"`
	// Memory is the maximum accelerator memory that the owner's models may take.
	Memory Bytes `yaml:"memory,omitempty" json:"memory,omitempty"`
}

// ModelSpec is the catalogue entry of a model.
type ModelSpec struct {
	Owner   OwnerName   `yaml:"owner" json:"owner"`
	Service ServiceName `yaml:"service" json:"service"`
	Class   Class       `yaml:"class" json:"class"`
	// Memory is the memory that the model takes on each accelerator, including its
	// working space. Accelerators is the number of accelerators; zero means one.
	Memory       Bytes  `yaml:"memory" json:"memory"`
	Accelerators int    `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
	Limits       Limits `yaml:"limits,omitempty" json:"limits"`
	// SharedWith lists other owners whose callers may use the model; "*" stands
	// for all.
	SharedWith []OwnerName `yaml:"shared-with,omitempty" json:"shared-with,omitempty"`
	// Repeatable is false if running a request twice does harm. Requests to models
	// are repeatable by default.
	Repeatable *bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
}

// AdapterSpec is the catalogue entry of an adapter.
type AdapterSpec struct {
	Owner      OwnerName   `yaml:"owner" json:"owner"`
	Base       ModelName   `yaml:"base" json:"base"`
	Class      Class       `yaml:"class" json:"class"`
	Memory     Bytes       `yaml:"memory" json:"memory"`
	Limits     Limits      `yaml:"limits,omitempty" json:"limits"`
	SharedWith []OwnerName `yaml:"shared-with,omitempty" json:"shared-with,omitempty"`
	Repeatable *bool       `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
}

// KeySpec is a caller's bearer key. Only its digest is in the catalogue.
type KeySpec struct {
	Caller CallerName `yaml:"caller" json:"caller"`
	// Digest is the SHA-256 of the key in lower-case hexadecimal.
	Digest string `yaml:"digest" json:"digest"`
}

// OwnerSpec is the catalogue entry of an owner.
type OwnerSpec struct {
	Keys   []KeySpec `yaml:"keys" json:"keys"`
	Limits Limits    `yaml:"limits,omitempty" json:"limits"`
	// CallerLimits applies to each of the owner's callers separately.
	CallerLimits Limits `yaml:"caller-limits,omitempty" json:"caller-limits"`
}

// ServiceType is the type of the upstreams of a service.
type ServiceType string

// Service types.
const (
	EngineService ServiceType = "engine"
	PlainService  ServiceType = "plain"
)

// RepeatRule selects the requests to a plain service that may be repeated.
type RepeatRule string

// Repeat rules.
const (
	// RepeatSafe, the default, allows GET, HEAD and OPTIONS only.
	RepeatSafe RepeatRule = "safe-methods"
	RepeatAll  RepeatRule = "all"
	RepeatNone RepeatRule = "none"
)

// ServiceSpec is the catalogue entry of a service: a set of upstream hosts.
type ServiceSpec struct {
	Type ServiceType `yaml:"type" json:"type"`
	// Owner is the owner whose callers may use a plain service.
	Owner      OwnerName   `yaml:"owner,omitempty" json:"owner,omitempty"`
	SharedWith []OwnerName `yaml:"shared-with,omitempty" json:"shared-with,omitempty"`
	Class      Class       `yaml:"class,omitempty" json:"class"`
	Limits     Limits      `yaml:"limits,omitempty" json:"limits"`
	Repeatable RepeatRule  `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// ChecksFence is set if the service's upstreams refuse orders that carry a
	// stale fencing number.
	ChecksFence bool `yaml:"checks-fence,omitempty" json:"checks-fence,omitempty"`
}

// HostRole is the role of a host in the system.
type HostRole string

// Host roles.
const (
	EntryHost    HostRole = "entry"
	UpstreamHost HostRole = "upstream"
)

// HostState is a host's state in the platform's list of hosts, which may lag
// behind.
type HostState string

// Host states. HostGone is the state of a host that the platform no longer
// lists.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// HostSpec is a host in the platform's list.
type HostSpec struct {
	Role       HostRole    `json:"role"`
	State      HostState   `json:"state"`
	Service    ServiceName `json:"service,omitempty"`
	DataCentre DataCentre  `json:"data-centre"`
	Region     Region      `json:"region,omitempty"`
	Rack       string      `json:"rack,omitempty"`
	// Work is the address at which an agent accepts requests; entries have none.
	// Control is the address for calls of other radishwell processes.
	Work    netip.AddrPort `json:"work,omitzero"`
	Control netip.AddrPort `json:"control"`
	// Accelerators is the number of accelerators of the host, each with Memory.
	Accelerators int   `json:"accelerators,omitempty"`
	Memory       Bytes `json:"memory,omitempty"`
}

// GrantState is the state of one host's grant for a model.
type GrantState string

// Grant states. A revoked holder counts until it has removed itself.
const (
	GrantActive  GrantState = "active"
	GrantRevoked GrantState = "revoked"
)

// GrantHolder is a host that may hold a model.
type GrantHolder struct {
	Host HostName `json:"host"`
	// UID is the UID of the host's object. It prevents a host that was reclaimed
	// and created again under the same name from inheriting its predecessor's
	// grants.
	UID   string     `json:"uid,omitempty"`
	State GrantState `json:"state"`
}

// GrantSpec is the set of hosts that may hold a model or adapter. Its object is
// named after the model. Holders are in the order of their names.
type GrantSpec struct {
	// Fence is the fencing number of the decider that wrote the grant last.
	Fence Fence `json:"fence"`
	// Entry is the version of the catalogue entry that the grant is based on.
	Entry Version `json:"entry"`
	// Owner is the model's owner, and Memory what one replica takes over all its
	// accelerators. They are stored here so that a grant whose catalogue entry was
	// deleted still counts towards the owner's limit.
	Owner   OwnerName     `json:"owner,omitempty"`
	Memory  Bytes         `json:"memory,omitempty"`
	Holders []GrantHolder `json:"holders"`
}

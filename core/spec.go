package core

import "net/netip"

// Limits bound what an owner, model or service may use. Zero is "no limit of
// its own".
type Limits struct {
	// Replicas is the most hosts that may hold the model at once.
	Replicas int `yaml:"replicas,omitempty" json:"replicas,omitempty"`
	// Concurrency is the most requests in progress at once.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	// Rate is the most requests accepted in a second, Burst the most at once
	// after a pause.
	Rate  float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	Burst int     `yaml:"burst,omitempty" json:"burst,omitempty"`
	// Queue is the most requests waiting, QueueBytes the most bytes of them.
	Queue      int   `yaml:"queue,omitempty" json:"queue,omitempty"`
	QueueBytes Bytes `yaml:"queue-bytes,omitempty" json:"queue-bytes,omitempty"`
	// Memory is the most accelerator memory the owner's models may hold.
	Memory Bytes `yaml:"memory,omitempty" json:"memory,omitempty"`
}

// ModelSpec is the catalogue entry of a model.
type ModelSpec struct {
	Owner   OwnerName   `yaml:"owner" json:"owner"`
	Service ServiceName `yaml:"service" json:"service"`
	Class   Class       `yaml:"class" json:"class"`
	// Memory is what the model holds on each accelerator, working space
	// included; Accelerators is how many it takes, one where zero.
	Memory       Bytes  `yaml:"memory" json:"memory"`
	Accelerators int    `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
	Limits       Limits `yaml:"limits,omitempty" json:"limits"`
	// SharedWith lists other owners whose callers may use the model; "*" is all.
	SharedWith []OwnerName `yaml:"shared-with,omitempty" json:"shared-with,omitempty"`
	// Repeatable tells whether running a request twice does no harm. Model
	// requests are repeatable unless this says false.
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
	// CallerLimits bound each single caller of the owner.
	CallerLimits Limits `yaml:"caller-limits,omitempty" json:"caller-limits"`
}

// ServiceType tells model engines from plain services.
type ServiceType string

// Service types.
const (
	EngineService ServiceType = "engine"
	PlainService  ServiceType = "plain"
)

// RepeatRule tells which calls of a plain service may be repeated.
type RepeatRule string

// Repeat rules.
const (
	// RepeatSafe: GET, HEAD and OPTIONS only. It is the default.
	RepeatSafe RepeatRule = "safe-methods"
	RepeatAll  RepeatRule = "all"
	RepeatNone RepeatRule = "none"
)

// ServiceSpec is the catalogue entry of a service: a set of upstream hosts.
type ServiceSpec struct {
	Type ServiceType `yaml:"type" json:"type"`
	// Owner is whose callers may use a plain service.
	Owner      OwnerName   `yaml:"owner,omitempty" json:"owner,omitempty"`
	SharedWith []OwnerName `yaml:"shared-with,omitempty" json:"shared-with,omitempty"`
	Class      Class       `yaml:"class,omitempty" json:"class"`
	Limits     Limits      `yaml:"limits,omitempty" json:"limits"`
	Repeatable RepeatRule  `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// ChecksFence tells that the service's upstreams refuse orders that carry
	// an old fencing number.
	ChecksFence bool `yaml:"checks-fence,omitempty" json:"checks-fence,omitempty"`
}

// HostRole tells entry hosts from upstream hosts.
type HostRole string

// Host roles.
const (
	EntryHost    HostRole = "entry"
	UpstreamHost HostRole = "upstream"
)

// HostState is a host's state in the platform's lagging list.
type HostState string

// Host states. A host that the platform no longer lists is gone.
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
	// Work is where the host's process takes requests (agents only), Control
	// where it takes calls of its peers.
	Work    netip.AddrPort `json:"work,omitzero"`
	Control netip.AddrPort `json:"control"`
	// Accelerators is how many accelerators the host has, each of Memory bytes.
	Accelerators int   `json:"accelerators,omitempty"`
	Memory       Bytes `json:"memory,omitempty"`
}

// GrantState is the state of one host's grant for a model.
type GrantState string

// Grant states. A revoked holder still counts until it has removed itself.
const (
	GrantActive  GrantState = "active"
	GrantRevoked GrantState = "revoked"
)

// GrantHolder is one host that may hold a model.
type GrantHolder struct {
	Host HostName `json:"host"`
	// UID is that of the host's object, so that a host which is reclaimed and
	// comes back under its old name does not hold its predecessor's grants.
	UID   string     `json:"uid,omitempty"`
	State GrantState `json:"state"`
}

// GrantSpec is the set of hosts that may hold a model or adapter. Its object is
// named after the model. Holders are in the order of their names.
type GrantSpec struct {
	// Fence is the fencing number of the decider that wrote it last.
	Fence Fence `json:"fence"`
	// Entry is the version of the catalogue entry it was decided from.
	Entry Version `json:"entry"`
	// Owner and Memory are the owner and what one holder's replica takes, over
	// all its accelerators, so that grants which outlive their entry count.
	Owner   OwnerName     `json:"owner,omitempty"`
	Memory  Bytes         `json:"memory,omitempty"`
	Holders []GrantHolder `json:"holders"`
}

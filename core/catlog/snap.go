package catlog

import (
	"iter"
	"slices"

	"radishwell/core"
)

// Entry is a model, adapter or plain service in force, which callers may request.
// Engine services are Pools only.
type Entry struct {
	Kind   core.Kind
	Target core.Target
	Owner  core.OwnerName
	// SharedWith lists other owners whose callers may use it. Shared is set if the
	// callers of all owners may.
	SharedWith []core.OwnerName
	Shared     bool
	Class      core.Class
	Limits     core.Limits
	// Memory is what one replica occupies on each of its Accelerators; zero for a
	// plain service. An adapter is loaded on the accelerators of its base.
	Memory       core.Bytes
	Accelerators int
	Repeatable   core.RepeatRule
	// ChecksFence is set if the upstreams refuse orders with an old fencing number.
	ChecksFence bool
	// Version is the resource version whose spec is in force.
	Version core.Version
}

// Allows reports whether callers of an owner may use the entry.
func (e *Entry) Allows(owner core.OwnerName) bool {
	return e.Shared || e.Owner == owner || slices.Contains(e.SharedWith, owner)
}

// Repeats reports whether a request with an HTTP method may safely run twice.
func (e *Entry) Repeats(method string) bool {
	switch e.Repeatable {
	case core.RepeatAll:
		return true
	case core.RepeatNone:
		return false
	default:
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
}

// Pool is a service of either type in force: a set of upstream hosts.
type Pool struct {
	Name        core.ServiceName
	Type        core.ServiceType
	Limits      core.Limits
	ChecksFence bool
	Version     core.Version
}

// Account is an owner in force.
type Account struct {
	Name         core.OwnerName
	Limits       core.Limits
	CallerLimits core.Limits
	Version      core.Version
}

// Caller is the caller to whom a bearer key belongs.
type Caller struct {
	Account *Account
	Name    core.CallerName
}

// Snapshot is the catalogue in force at one moment. It is immutable and safe for
// concurrent use, and its methods do not allocate. Callers must not modify what its
// pointers and slices refer to.
type Snapshot struct {
	keys     map[Digest]Caller
	accounts map[core.OwnerName]*Account
	models   map[core.ModelName]*Entry
	services map[core.ServiceName]*Entry
	pools    map[core.ServiceName]*Pool
	items    []*Entry
	poolList []*Pool
	list     []*Account
	revision uint64
}

// Revision returns the number of the snapshot. It grows by one with every change of
// the entries in force.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Caller returns the caller to whom the bearer key with a digest belongs.
func (s *Snapshot) Caller(d Digest) (Caller, bool) {
	c, ok := s.keys[d]
	return c, ok
}

// Account returns an owner.
func (s *Snapshot) Account(name core.OwnerName) (*Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Accounts lists the owners by name.
func (s *Snapshot) Accounts() []*Account { return s.list }

// Model returns a model or adapter.
func (s *Snapshot) Model(name core.ModelName) (*Entry, bool) {
	e, ok := s.models[name]
	return e, ok
}

// Service returns a plain service, which callers may request by its name.
func (s *Snapshot) Service(name core.ServiceName) (*Entry, bool) {
	e, ok := s.services[name]
	return e, ok
}

// Entry returns the model, adapter or plain service that a target names.
func (s *Snapshot) Entry(t core.Target) (*Entry, bool) {
	if t.Model == "" {
		return s.Service(t.Service)
	}
	return s.Model(t.Model)
}

// Pool returns a service of either type as a set of upstream hosts.
func (s *Snapshot) Pool(name core.ServiceName) (*Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Pools lists the services of both types by name.
func (s *Snapshot) Pools() []*Pool { return s.poolList }

// Items lists all models, then all adapters, each sorted by name. An adapter always
// follows its base.
func (s *Snapshot) Items() []*Entry { return s.items }

// Usable yields the models and adapters that callers of an owner may use, in
// the order of Items.
func (s *Snapshot) Usable(owner core.OwnerName) iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for _, e := range s.items {
			if e.Allows(owner) && !yield(e) {
				return
			}
		}
	}
}

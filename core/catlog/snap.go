package catlog

import (
	"iter"
	"slices"

	"radishwell/core"
)

// Entry is a model, adapter or plain service in force: what a caller may ask
// for. Engine services are Pools.
type Entry struct {
	Kind   core.Kind
	Target core.Target
	Owner  core.OwnerName
	// SharedWith lists other owners whose callers may use it; Shared is all.
	SharedWith []core.OwnerName
	Shared     bool
	Class      core.Class
	Limits     core.Limits
	// Memory is what one replica holds on each of its Accelerators; zero for a
	// plain service. An adapter lies on the accelerators of its base.
	Memory       core.Bytes
	Accelerators int
	Repeatable   core.RepeatRule
	// ChecksFence tells that the upstreams refuse orders of an old fencing number.
	ChecksFence bool
	// Version is the resource version whose spec is in force.
	Version core.Version
}

// Allows tells whether callers of an owner may use the entry.
func (e *Entry) Allows(owner core.OwnerName) bool {
	return e.Shared || e.Owner == owner || slices.Contains(e.SharedWith, owner)
}

// Repeats tells whether a request with an HTTP method may be run twice without
// harm.
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

// Pool is a service in force: a set of upstream hosts.
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

// Caller is who holds a bearer key.
type Caller struct {
	Account *Account
	Name    core.CallerName
}

// Snapshot is the catalogue in force at one moment. It never changes; all of
// its methods may be called at once by any number of readers and allocate
// nothing. What its pointers and slices lead to must not be changed.
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

// Revision grows by one with every change of what is in force.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Caller returns who holds the bearer key of a digest.
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

// Service returns a plain service that callers may ask for.
func (s *Snapshot) Service(name core.ServiceName) (*Entry, bool) {
	e, ok := s.services[name]
	return e, ok
}

// Entry returns what a target names: a model or adapter, or a plain service.
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

// Items lists all models, then all adapters, each by name. An adapter always
// comes after its base.
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

package rtable

import (
	"sort"
	"strings"
	"time"

	"radishwell/core"
)

// Kind tells what may be repeated of a route's requests.
type Kind uint8

// Kinds of routes.
const (
	// Once: a request runs at most once.
	Once Kind = iota
	// Repeatable: a request may run several times.
	Repeatable
	// Stream: the answer is a series of events; a request runs at most once
	// unless its route is resumable.
	Stream
)

// Share is the part of a route's requests that go to one service.
type Share struct {
	Service core.ServiceName
	// Weight counts against the sum over all shares of the route.
	Weight float64
}

// Route sends the requests of one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name that callers ask for, without a port.
	Host string
	// Prefix is the beginning of the path; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the services that the requests are split over, one at least.
	Shares []Share
	// MostHosts bounds the upstream hosts that run one request.
	MostHosts int
	// Timeout is the longest a request is kept without a final answer; zero
	// where there is no such bound.
	Timeout time.Duration
	// Target is the time within which an answer is of full use to callers: of
	// streams, the first event.
	Target time.Duration
	// Pause is the longest gap between a stream's events that callers take well.
	Pause time.Duration
	// Silence is how long callers wait for a stream's first event, and for each
	// next one, before they leave; zero where that is not known.
	Silence time.Duration
	// Rank orders routes by urgency; zero is the most urgent.
	Rank int
	// Resumable tells that a stream may go on at another upstream host after
	// the last event that the caller has.
	Resumable bool
	// Open tells that callers need no key.
	Open bool
}

// Repeats tells whether a request may run more than once.
func (r *Route) Repeats() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Service picks the service of one request. The number is drawn evenly from 0
// up to 1.
func (r *Route) Service(number float64) core.ServiceName {
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	left := number * sum
	for _, s := range r.Shares {
		left -= s.Weight
		if left < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is a model that a service's upstream hosts can hold.
type Model struct {
	Name core.ModelName
	// Weights is the memory that the model takes, Adapter that of each of its
	// adapters.
	Weights, Adapter core.Bytes
	Adapters         int
	// Load, FromDisk and FromMemory are the times of a load by where the
	// nearest copy of the weights is.
	Load, FromDisk, FromMemory time.Duration
}

// Service is a set of upstream hosts of one kind.
type Service struct {
	Name core.ServiceName
	// Models are what the service's hosts can hold; empty for a plain service.
	Models map[core.ModelName]Model
	// Memory is what a host has for weights and adapters together, and
	// AdapterPlaces how many adapters it holds at the most.
	Memory        core.Bytes
	AdapterPlaces int
	// Batch is the number of requests that a host runs at once.
	Batch int
	// PromptMemory is a host's memory for prompts, in tokens.
	PromptMemory int
	// LoadsPerSecond bounds the loads from the weight store, over all hosts.
	LoadsPerSecond float64
	// Connections bounds those that a host takes from all callers together.
	Connections int
}

// HasModels tells a service of model engines from a plain one.
func (s *Service) HasModels() bool { return len(s.Models) > 0 }

// Limits bound what callers may send and how long they may take.
type Limits struct {
	Header, Body     core.Bytes
	HeaderTime, Idle time.Duration
}

// Table is one version of the routing table. It is not changed once built.
type Table struct {
	// Version grows from one table to the next.
	Version  int64
	Limits   Limits
	Services map[core.ServiceName]*Service
	hosts    map[string][]*Route
	count    int
	// customers are found by their keys and by their names; keys is nil where callers
	// need none.
	keys   map[core.KeyDigest]*Customer
	byName map[core.OwnerName]*Customer
	// ranks are the urgencies of customers and routes together.
	ranks ranks
}

// ServiceError reports a route to a service that the table does not have.
type ServiceError struct {
	Route   string
	Service core.ServiceName
}

// Error implements error.
func (e *ServiceError) Error() string {
	return "route " + e.Route + " goes to the service " + string(e.Service) + ", which is not in the table"
}

// RouteError reports a route that can't be used.
type RouteError struct {
	Route  string
	Reason string
}

// Error implements error.
func (e *RouteError) Error() string { return "route " + e.Route + ": " + e.Reason }

// Build checks the routes and customers and returns the table. Callers need no keys
// where customers is nil. Its error is a RouteError, ServiceError or CustomerError.
func Build(version int64, limits Limits, services []*Service, routes []*Route, customers []*Customer) (*Table, error) {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[core.ServiceName]*Service, len(services)), hosts: map[string][]*Route{},
		count: len(routes),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := t.check(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	if err := t.addCustomers(customers); err != nil {
		return nil, err
	}
	t.ranks = newRanks(routes, customers)
	return t, nil
}

func (t *Table) check(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &RouteError{Route: r.Name, Reason: "the path prefix has to begin and end with a slash"}
	case len(r.Shares) == 0:
		return &RouteError{Route: r.Name, Reason: "it goes to no service"}
	}
	for _, s := range r.Shares {
		if t.Services[s.Service] == nil {
			return &ServiceError{Route: r.Name, Service: s.Service}
		}
	}
	return nil
}

// Match returns the route with the longest prefix that begins the path, among
// those of the host name; nil where there is none. A port in host is passed
// over.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Keeper holds the table in force. The zero Keeper has none. It is not safe for
// use by several goroutines.
type Keeper struct {
	table *Table
	// removed are keys that a table had and a later one has not.
	removed map[core.KeyDigest]bool
}

// mostRemoved bounds the removed keys that are remembered.
const mostRemoved = 4096

// Offer takes a table in if it is newer than the one in force, and tells
// whether it did. A copy from a peer or from a read that lags may be older than
// what was in force before; taking it would send requests to services that a
// later version has moved them away from.
func (k *Keeper) Offer(t *Table) bool {
	if k.table != nil && t.Version <= k.table.Version {
		return false
	}
	k.noteRemoved(t)
	k.table = t
	return true
}

// noteRemoved remembers the keys that a new table lacks, so that their callers can be told
// apart from those whose keys never were.
func (k *Keeper) noteRemoved(t *Table) {
	if k.table == nil {
		return
	}
	if k.removed == nil {
		k.removed = map[core.KeyDigest]bool{}
	}
	for key := range k.table.keys {
		if t.Holder(key) == nil && len(k.removed) < mostRemoved {
			k.removed[key] = true
		}
	}
}

// Removed tells whether a key was in a table before the one in force.
func (k *Keeper) Removed(key core.KeyDigest) bool { return k.removed[key] }

// Table returns the table in force, nil before there is one.
func (k *Keeper) Table() *Table { return k.table }

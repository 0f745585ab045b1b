package rtable

import (
	"slices"
	"sort"
	"strings"
	"time"

	"radishwell/core"
	"radishwell/core/rawurl"
)

// Kind says whether the requests of a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Once means that a request runs at most once.
	Once Kind = iota
	// Repeatable means that a request may run several times.
	Repeatable
	// Stream means that the answer is a series of events. A request runs at most once
	// unless its route is resumable.
	Stream
)

// Share is the fraction of a route's requests that go to one service.
type Share struct {
	Service core.ServiceName
	// Weight is relative to the sum of the weights of all shares of the route.
	Weight float64
}

// Route directs the requests for one host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name in requests, without a port.
	Host string
	// Prefix is the beginning of the path. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares lists the services that the requests are split among. There is at least one.
	Shares []Share
	// MaxHosts is the maximum number of upstream hosts that run one request.
	MaxHosts int
	// Timeout is the longest time that a request is kept without a final answer, zero if it
	// is unlimited.
	Timeout time.Duration
	// Target is the time within which callers get the full use of an answer, or of the
	// first event of a stream.
	Target time.Duration
	// Pause is the longest gap between the events of a stream that callers accept.
	Pause time.Duration
	// SilenceTimeout is how long callers wait for the first event of a stream, and for each
	// next one, before they disconnect. It is zero if unknown.
	SilenceTimeout time.Duration
	// Rank is the urgency of the route's requests. Zero is the most urgent.
	Rank int
	// Resumable is set if a stream may continue at another upstream host after the last
	// event that the caller received.
	Resumable bool
	// Open is set if callers need no key.
	Open bool
}

// Repeats reports whether a request may run more than once.
func (r *Route) Repeats() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Service picks the service of one request by weight. The number is drawn uniformly from
// [0, 1).
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
	// Weights is the memory used by the model, and Adapter that used by each of its
	// adapters.
	Weights, Adapter core.Bytes
	Adapters         int
	// Load, FromDisk and FromMemory are the durations of a load if the nearest copy of the
	// weights is in the weight store, on the host's disk or in its memory.
	Load, FromDisk, FromMemory time.Duration
}

// LoadTime returns the duration of a load from a tier.
func (m Model) LoadTime(from core.Tier) time.Duration {
	switch from {
	case core.TierMemory:
		return m.FromMemory
	case core.TierDisk:
		return m.FromDisk
	}
	return m.Load
}

// Service is a set of upstream hosts of one kind.
type Service struct {
	Name core.ServiceName
	// Models are the models that the service's hosts can hold. It is empty for a plain
	// service.
	Models map[core.ModelName]Model
	// Memory is a host's memory for weights and adapters together, and AdapterSlots is the
	// maximum number of adapters that it holds.
	Memory       core.Bytes
	AdapterSlots int
	// Batch is the number of requests that a host runs at once.
	Batch int
	// PromptMemory is the capacity of a host's prompt cache, in tokens.
	PromptMemory int
	// LoadsPerSecond limits the loads from the weight store over all hosts.
	LoadsPerSecond float64
	// Connections limits the connections that a host accepts from all callers together.
	Connections int
	// HealthPath is the path of the hosts' health checks, empty if they have none.
	HealthPath string
}

// HasModels reports whether the service runs model engines, as opposed to a plain service.
func (s *Service) HasModels() bool { return len(s.Models) > 0 }

// Limits are the limits on the size and duration of callers' requests.
type Limits struct {
	Header, Body     core.Bytes
	HeaderTime, Idle time.Duration
}

// Table is one version of the routing table. It is immutable once built.
type Table struct {
	// Version increases from one table to the next.
	Version  int64
	Limits   Limits
	Services map[core.ServiceName]*Service
	hosts    map[string][]*Route
	count    int
	// keys and byName index the customers. keys is nil if callers need no keys.
	keys   map[core.KeyDigest]*Customer
	byName map[core.OwnerName]*Customer
	// split are the services of routes whose streams may be resumed and that go to several.
	split map[core.ServiceName]bool
	// ranks are the combined urgencies of customers and routes.
	ranks ranks
}

// ServiceError reports a route to a service that is not in the table.
type ServiceError struct {
	Route   string
	Service core.ServiceName
}

// Error implements error.
func (e *ServiceError) Error() string {
	return "route " + e.Route + " goes to the service " + string(e.Service) + ", which is not in the table"
}

// RouteError reports an invalid route.
type RouteError struct {
	Route  string
	Reason string
}

// Error implements error.
func (e *RouteError) Error() string { return "route " + e.Route + ": " + e.Reason }

// Build validates the routes and customers and returns the table. If customers is nil,
// callers need no keys. Its error is a RouteError, ServiceError or CustomerError.
func Build(version int64, limits Limits, services []*Service, routes []*Route, customers []*Customer) (*Table, error) {
	t := &Table{
		Version: version, Limits: limits,
		Services: make(map[core.ServiceName]*Service, len(services)), hosts: map[string][]*Route{},
		count: len(routes), split: map[core.ServiceName]bool{},
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
		if len(r.Shares) > 1 && r.resumesStreams() {
			r.addServices(t.split)
		}
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

func (r *Route) resumesStreams() bool { return r.Kind == Stream && r.Resumable }

// addServices adds the services of the route to a set.
func (r *Route) addServices(to map[core.ServiceName]bool) {
	for _, s := range r.Shares {
		to[s.Service] = true
	}
}

// IsSplit reports whether a route whose streams may be resumed goes to a service and to others.
func (t *Table) IsSplit(s core.ServiceName) bool { return t.split[s] }

// Moved returns the services, in this table and in an earlier one, of the routes whose streams may be
// resumed and that go to other services than there.
func (t *Table) Moved(from *Table) map[core.ServiceName]bool {
	out := map[core.ServiceName]bool{}
	for host, list := range t.hosts {
		for _, r := range list {
			before := from.Match(host, r.Prefix)
			if !r.resumesStreams() || before == nil || slices.EqualFunc(before.Shares, r.Shares, func(a, b Share) bool { return a.Service == b.Service }) {
				continue
			}
			before.addServices(out)
			r.addServices(out)
		}
	}
	return out
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

// Match returns the route of the host name with the longest prefix of the path, nil if
// there is none. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func (t *Table) routesOf(host string) []*Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return t.hosts[strings.ToLower(host)]
}

// Ambiguous reports whether a path that r matches belongs to another route for servers that
// decode paths or merge slashes (see rawurl.Normal). Its caller could reach there by r what only
// the other route is for.
func (t *Table) Ambiguous(host, path string, r *Route) bool {
	if !strings.Contains(path, "%") && !strings.Contains(path, "//") {
		return false
	}
	path = rawurl.Normal(path)
	length := len(rawurl.Normal(r.Prefix))
	return slices.ContainsFunc(t.routesOf(host), func(other *Route) bool {
		prefix := rawurl.Normal(other.Prefix)
		return len(prefix) > length && strings.HasPrefix(path, prefix)
	})
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Keeper holds the current table. The zero Keeper has none. It is not safe for concurrent
// use.
type Keeper struct {
	table *Table
	// removed holds the keys that an earlier table had and a later one lacks.
	removed map[core.KeyDigest]bool
}

// maxRemoved bounds the removed keys that are remembered.
const maxRemoved = 4096

// Offer replaces the current table if the new one is newer, and reports whether it did. A
// copy from a peer or from a lagging read may be older than the current table; using it
// would send requests to services that a later version has moved them away from.
func (k *Keeper) Offer(t *Table) bool {
	if k.table != nil && t.Version <= k.table.Version {
		return false
	}
	k.recordRemoved(t)
	k.table = t
	return true
}

// recordRemoved remembers the keys that a new table lacks, so that their callers can be
// distinguished from those whose keys never existed.
func (k *Keeper) recordRemoved(t *Table) {
	if k.table == nil {
		return
	}
	if k.removed == nil {
		k.removed = map[core.KeyDigest]bool{}
	}
	for key := range k.table.keys {
		if t.KeyHolder(key) == nil && len(k.removed) < maxRemoved {
			k.removed[key] = true
		}
	}
}

// Removed reports whether an earlier table had a key that the current one lacks.
func (k *Keeper) Removed(key core.KeyDigest) bool { return k.removed[key] }

// Table returns the current table, nil if there is none yet.
func (k *Keeper) Table() *Table { return k.table }

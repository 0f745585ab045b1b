package route

import (
	"time"

	"radishwell/core"
)

// Health is the state of a host according to membership.
type Health uint8

// The values of Health. Leaving hosts get no new work, and suspects only if no
// other host is left.
const (
	Live Health = iota
	Suspect
	Leaving
)

// Item is a host's report on one model or adapter.
type Item struct {
	State core.ItemState
	// Running and Queued count the item's requests at the host.
	Running, Queued int
	// Tier is where the host finds the checkpoint.
	Tier core.Tier
	// Ready is the expected end of a load in progress.
	Ready time.Time
}

// Load is a host's report on its load.
type Load struct {
	// At is when the report was made; zero if there is none.
	At time.Time
	// Running and Queued count all requests at the host.
	Running, Queued int
	// Free is the largest unreserved memory of any one accelerator.
	Free core.Bytes
	// Item is the state of the target, and Base that of the model that an
	// adapter needs.
	Item, Base Item
}

// Candidate is a host that may serve the target. For a model or adapter it
// holds an active grant, which is the permission to serve it; for a plain
// service it is any of the service's hosts.
type Candidate struct {
	Host       core.HostName
	DataCentre core.DataCentre
	Health     Health
	Load       Load
	// InFlight counts the requests that this process has at the host now, and
	// Sent those that it has sent since Load.At.
	InFlight, Sent int
}

// Costs are the measured times of a cold start by the tier of the checkpoint.
type Costs struct {
	// Item is the time of the target, and Base that of the base model, which
	// counts if an adapter is requested and its base is not loaded.
	Item, Base [3]time.Duration
}

// Query describes one request to be routed.
type Query struct {
	Request core.Request
	// DataCentre is this process's data centre.
	DataCentre core.DataCentre
	Candidates []Candidate
	Costs      Costs
	// Need is the memory that the target takes on one accelerator; zero if
	// unknown.
	Need core.Bytes
	// Tried lists hosts that this request has been sent to. They are excluded.
	Tried []core.HostName
	// Probed lists hosts that were probed for this request. No plan names them
	// for a probe again. The caller sets the health of a host that did not
	// respond to its probe to Suspect.
	Probed []core.HostName
}

// Reason says why a host has its place in a plan.
type Reason uint8

// The values of Reason, the most preferred first.
const (
	// Cached means that the host holds the target and likely has the prompt's
	// prefix cached.
	Cached Reason = iota
	// LeastLoaded means that the host holds the target and has the shortest
	// expected wait.
	LeastLoaded
	// OfTwo means that the host is the better of two holders, chosen because
	// reports are stale.
	OfTwo
	// Spill means that the host would load the target and still start sooner
	// than the busy holders.
	Spill
	// Resident means that the host is another holder, to be tried later.
	Resident
	// Loading means that the host is loading the target.
	Loading
	// Cold means that the host would have to load the target.
	Cold
	// SetAside means that the host was slow or failing recently, or is
	// suspected of having failed.
	SetAside
	reasonCount
)

var reasonNames = [reasonCount]string{
	"cached", "least-loaded", "of-two", "spill", "resident", "loading", "cold", "set-aside",
}

// String returns the reason's name as the explain command prints it.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Choice is one host of a plan.
type Choice struct {
	Host   core.HostName
	Reason Reason
	// Start is when the request is expected to start there.
	Start time.Time
	// Load is the estimated load in requests, and Age is the age of the report
	// behind it, zero if there is none.
	Load float64
	Age  time.Duration
}

// Plan is the result of Router.Plan.
type Plan struct {
	// Hosts are in the order in which to try them; empty if none may serve.
	Hosts []Choice
	// Probe lists at most two hosts whose load should be probed. Router.Plan is
	// then called again with the loads that they reported, until it names none.
	Probe []core.HostName
	// Wait is set if the probes should be awaited before the plan is followed,
	// because it would start a load and a probed host may hold the target.
	// Otherwise the first requests of a new entry, which knows of no holder,
	// would load a second replica and wait for it.
	Wait bool
}

// Router records the performance of hosts and the prefixes in their caches. The
// exported fields are set before use. It is not safe for concurrent use.
type Router struct {
	// Seed varies the pseudo-random choices between entries, except those that
	// all entries must make alike.
	Seed uint64

	hostSets map[core.ServiceName]*hostSet
	speeds   recentMap[string, targetSpeed]
	prefixes recentMap[uint64, prefixHost]
	// knownSlots is how many requests hosts run at once.
	knownSlots recentMap[core.HostName, int]
}

// Plan orders the candidates for a request. The same state, time and query give
// the same plan.
func (r *Router) Plan(now time.Time, q Query) Plan {
	options := r.options(now, q)
	if len(options) == 0 {
		return Plan{}
	}
	g := group(options)
	r.orderHolders(now, q, g.holders)
	orderCold(g.cold)
	orderSetAside(g.setAside)
	g.spill()
	all := g.ordered()
	toProbe := hostsToProbe(all, q.Probed)
	return Plan{Hosts: choices(now, all), Probe: toProbe, Wait: len(toProbe) > 0 && all[0].loadTime > 0}
}

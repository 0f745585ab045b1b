package route

import (
	"time"

	"radishwell/core"
)

// Health is what membership says of a host.
type Health uint8

// Healths. Leaving hosts get no new work; suspects only when no other is left.
const (
	Live Health = iota
	Suspect
	Leaving
)

// Item is what a host reports of one model or adapter.
type Item struct {
	State core.ItemState
	// Running and Queued count the item's requests at the host.
	Running, Queued int
	// Tier is where the host finds the checkpoint.
	Tier core.Tier
	// Ready is when a load under way should end.
	Ready time.Time
}

// Load is a host's load as it reported it.
type Load struct {
	// At is when the report was taken; zero where there is none.
	At time.Time
	// Running and Queued count all requests at the host.
	Running, Queued int
	// Free is the unpromised memory of the accelerator that has most.
	Free core.Bytes
	// Item is the target's state, Base that of the model an adapter needs.
	Item, Base Item
}

// Candidate is a host that may serve the target: for a model or adapter a holder
// of an active grant, for a plain service any of its hosts.
type Candidate struct {
	Host       core.HostName
	DataCentre core.DataCentre
	Health     Health
	Load       Load
	// InFlight counts the requests that this process has at the host now, Sent
	// those that it has handed over since Load.At.
	InFlight, Sent int
}

// Costs are the measured times of a cold start, by where the checkpoint is.
type Costs struct {
	// Item is the target's, Base the base model's, which counts where an adapter
	// is asked for and its base is not loaded.
	Item, Base [3]time.Duration
}

// Query is one request to be routed.
type Query struct {
	Request core.Request
	// Here is this process's data centre.
	Here       core.DataCentre
	Candidates []Candidate
	Costs      Costs
	// Need is the memory the target takes on one accelerator; zero where unknown.
	Need core.Bytes
	// Tried are hosts that this request has been at; they are left out.
	Tried []core.HostName
	// Asked are hosts that were probed for this request; no plan names them for
	// a probe again. A host that did not answer its probe is a Suspect.
	Asked []core.HostName
}

// Reason says why a host has its place in a plan.
type Reason uint8

// Reasons, the most wanted first.
const (
	// Cached: holds the target, and the prompt's prefix is likely cached there.
	Cached Reason = iota
	// LeastLoaded: holds the target with the least foreseen wait.
	LeastLoaded
	// OfTwo: the better of two holders, since their load state is old.
	OfTwo
	// Spill: would load the target, sooner than the busy holders get to it.
	Spill
	// Resident: another holder, to be tried later.
	Resident
	// Arriving: is loading the target.
	Arriving
	// Cold: would have to load the target.
	Cold
	// SetAside: was slow or failing of late, or is suspected of being gone.
	SetAside
	reasonCount
)

var reasonNames = [reasonCount]string{
	"cached", "least-loaded", "of-two", "spill", "resident", "loading", "cold", "set-aside",
}

// String returns the reason's name as explain prints it.
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
	// Start is when the request should start there.
	Start time.Time
	// Load is the load assumed, in requests; Age that of the report behind it,
	// zero where there is none.
	Load float64
	Age  time.Duration
}

// Plan is the answer to a Query.
type Plan struct {
	// Hosts are in the order in which to try them; empty where none may serve.
	Hosts []Choice
	// Probe are hosts whose load should be asked for, two at the most; Plan is
	// then called again with their answers, until it names none.
	Probe []core.HostName
	// Wait tells that the answers are worth waiting for before the plan is
	// followed: it would start a load, and a host to be asked may hold the target.
	// A new entry knows of no holder, and without the wait its first requests
	// would load a second replica and wait for that.
	Wait bool
}

// Router holds what was learnt about hosts and prompts. Its exported fields are
// set before use. It needs no lock of its own; its owner calls it from one
// goroutine at a time.
type Router struct {
	// Seed enters all pseudo-random choices but those that all entries must make
	// alike.
	Seed uint64

	sets     map[core.ServiceName]*set
	speeds   recent[string, speed]
	prefixes recent[uint64, holder]
	// widths are how many requests hosts run at once.
	widths recent[core.HostName, int]
}

// Plan orders the candidates for a request. Equal inputs give equal plans.
func (r *Router) Plan(now time.Time, q Query) Plan {
	options := r.options(now, q)
	if len(options) == 0 {
		return Plan{}
	}
	g := split(options)
	r.orderHolders(now, q, g.holders)
	orderCold(g.cold)
	orderAside(g.aside)
	g.spill()
	all := g.all()
	ask := probes(all, q.Asked)
	return Plan{Hosts: choices(now, all), Probe: ask, Wait: len(ask) > 0 && all[0].cold > 0}
}

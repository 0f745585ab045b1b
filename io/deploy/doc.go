// Package deploy runs the processes of a managed platform. It assembles the parts of an
// entry or an agent, supplies them with state from the platform's store and from other
// processes, and starts and stops them.
//
// An entry forwards callers' requests to upstreams. It polls the agents beside them for
// reports, either all of them itself or, in a large fleet, through other entries, the
// relays. One entry at a time is the planner, which decides on the hosts that load each
// model and sends goals to their agents. Upstreams without an agent receive their orders
// from an entry that holds a lease.
package deploy

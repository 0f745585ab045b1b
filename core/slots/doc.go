// Package slots divides the limits of the weight store among the hosts of the
// fleet.
//
// The store starts a limited number of loads per second and moves a limited
// number of transfers at full speed; beyond that each transfer is
// proportionally slower. If all hosts read at once, as at the beginning of an
// evening with many sessions, every transfer takes as long as all of them
// together, and almost no request is served until almost all models are
// loaded.
//
// The decider, which is the entry that makes such decisions for the fleet, has
// one Pool for models and one for adapters. An agent requests a slot, which is
// the permission to read from the store, before a load. It renews the slot
// while it reads and releases it with the duration of the transfer. From these
// durations the pool finds the number of transfers at which throughput stops
// growing, the knee, and grants no more slots than that. A slot that is not
// renewed expires, so a host that crashed does not hold it for long.
//
// An agent that cannot reach the decider uses Local, which applies the agent's
// share of the limits and adapts it to the transfer times that the agent
// measures.
package slots

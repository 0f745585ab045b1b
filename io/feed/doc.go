// Package feed exchanges the state of upstream hosts and the demand for models between
// the entries of a large fleet.
//
// An entry follows an agent if it polls the agent itself. Relays are the entries that
// follow the agents of a data centre; the other entries, and relays for the hosts of
// other data centres, poll relays. Each call carries the demand of the entry's callers,
// and each reply the reports of the agents. One of the relays is the planner, which
// places models. An agent follows the planner whose goals it accepts.
//
// core/follow chooses the relays, core/digest holds the reports, and core/demand adds up
// the demand. In a small fleet each entry follows all agents, and no relay is polled.
package feed

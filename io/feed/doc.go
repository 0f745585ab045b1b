// Package feed exchanges the state of upstream hosts and the demand for models between
// the entries of a large fleet. An entry polls relays, which are entries that follow
// agents themselves: each call carries the demand of the entry's callers, and each reply
// the reports of the agents.
//
// core/follow chooses the relays, core/digest holds the reports, and core/demand adds up
// the demand. In a small fleet, where each entry follows all agents itself, the package
// is idle.
package feed

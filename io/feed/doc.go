// Package feed is an entry's exchange with other entries of a large fleet: what the
// upstream hosts' agents say comes in, and what callers ask for goes out.
//
// core/follow decides whom to ask, core/digest holds what was heard, and core/demand
// sums what is asked for. In a small fleet, where each entry follows all agents itself,
// the package is idle.
package feed

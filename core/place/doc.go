// Package place decides which hosts may hold which model: the grants.
//
// A Planner holds the decider's view of catalogue, hosts, demand and grants. Its
// Round returns conditional writes of grant objects, at most a budget of them,
// the most urgent first, and only for what has changed. No write makes the
// holders of a model, active and revoked, more than its limit, nor takes a
// holder away: the decider marks it revoked, and its own agent removes it with
// Release once the model is unloaded. The one exception is a host that the
// platform no longer lists.
package place

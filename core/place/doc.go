// Package place decides which hosts may hold which model. These permissions are
// the grants: one object per model on the platform, with the hosts that hold it.
//
// A Planner has the decider's view of the catalogue, the hosts, the demand and the
// grants. Its Round returns conditional writes of grant objects for what has
// changed, most urgent first and up to a budget. No write raises the number of a
// model's holders, active and revoked, above the model's limit. No write removes a
// holder either: the decider marks it revoked, and the host's own agent removes it
// with Release once the model is unloaded. The one exception is a host that the
// platform no longer lists.
package place

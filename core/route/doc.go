// Package route chooses the upstream hosts that a request is handed to, among
// those that may serve its target.
//
// Order. Hosts that hold the target, then hosts that are loading it, then the
// cheapest cold start. Among holders: one that has the prompt's prefix cached
// while its load is near the mean, otherwise the least loaded; where the load
// state is old, the better of two taken by the request's id. A busy holder
// spills to another granted host only when its foreseen wait is longer than a
// cold start there.
//
// It answers bursts that arrive at several entries at once. Entries share no
// state, so the choice of a cold host depends on the target alone: all of them
// wake the same host, and one load serves all. The choice among holders depends
// on the request: entries with the same old state do not all pick the same host.
// Without it, a random router loads a model on every host it may, and a router
// that takes the least loaded by an old report sends every request of that time
// to one host.
//
// Slow hosts are noticed by latency as well as by failures, set aside, and let
// back in slowly.
package route

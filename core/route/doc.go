// Package route chooses the upstream hosts for a request among those that may
// serve its target.
//
// Order. Hosts that hold the target come first, then hosts that are loading it,
// then the cheapest cold start. Among holders, a plan prefers a host that
// likely has the prompt's prefix cached if its load is near the mean, and
// otherwise the least loaded one. If load reports are stale, it takes the
// better of two hosts drawn by the request's ID. A request leaves its busy
// holders for another granted host only if their expected wait is longer than a
// cold start there.
//
// Entries share no state, and a burst may arrive at several of them at once.
// The choice of a cold host therefore depends on the target alone: all entries
// choose the same host, and one load serves them all. The choice among holders
// depends on the request, so entries with the same stale reports do not all
// choose the same host. A random router would load a model on every host it may
// use, and a router that goes to the least loaded host of a stale report would
// send every request of that period to one host.
//
// Slow hosts are detected by their latency and failures, are set aside, and
// return gradually.
package route

// Package fleet is what an entry knows of the upstream hosts of a managed
// platform, and its choice of the host that runs a request.
//
// Two sources tell of a host: the platform's registry, which lags by a second
// or so, and the agent beside the host, whose word is fresh but can be missing.
// A View joins them: a host that either of them calls leaving gets no new work,
// and what a host holds is taken from the fresher of the two.
package fleet

// Package entry is the entry role. It admits callers' requests, enforces limits, routes
// each request to a host that may serve it, relays the answer, and reports truthfully
// what became of the request.
//
// The decisions are made by core/admit, core/queue, core/route, core/retry, core/claims
// and core/strike. This package holds one lock around them and carries out what they
// decide.
package entry

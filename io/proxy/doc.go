// Package proxy handles callers' requests at an entry on a managed platform. It matches
// each request against the routing table, sends it to an upstream host that may run it,
// and forwards the answer.
//
// Each request ends in exactly one of these ways: the upstream's complete answer; a
// refusal that promises that the request has not run; a failure that promises nothing;
// or a connection closed in the middle of a stream that could not continue.
package proxy

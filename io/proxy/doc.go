// Package proxy is the entry's way of a request on a managed platform: from the
// caller, by the routing table, to an upstream host that may run it, and back.
//
// Each request ends in exactly one of these ways: the upstream's answer, whole;
// a refusal that promises it has not run; a failure that promises nothing; or a
// connection closed in the middle of a stream that could not go on.
package proxy

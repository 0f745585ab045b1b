package core

import "time"

// Target says what a request asks for: a model or adapter, or a plain service.
type Target struct {
	// Service is the set of upstream hosts that can serve the request.
	Service ServiceName
	// Model is the model or adapter asked for; empty for a plain service.
	Model ModelName
	// Base is the model that an adapter is loaded on; empty unless Model is an
	// adapter.
	Base ModelName
}

// Name returns the name under which limits of the target are kept.
func (t Target) Name() string {
	if t.Model == "" {
		return string(t.Service)
	}
	return string(t.Model)
}

// Request is what the decisions know of a request. The body is not part of it.
type Request struct {
	ID     RequestID
	Target Target
	Owner  OwnerName
	Caller CallerName
	Class  Class
	// Arrived is when the entry had read the request's head.
	Arrived time.Time
	// Deadline is when the caller stops waiting; no answer is owed after it.
	Deadline time.Time
	// Repeatable tells that running the request twice does no harm.
	Repeatable bool
	// Key is the caller's idempotency key; empty where there is none.
	Key string
	// Fingerprint is equal for repetitions of the same request.
	Fingerprint Fingerprint
	// Size is the length of the body in bytes.
	Size Bytes
	// Tokens is the most tokens the answer may have; zero where unknown.
	Tokens int
	// Stream tells that the caller wants the answer token by token.
	Stream bool
	// Prefixes are hashes of ever longer prefixes of the prompt, the shortest
	// first, for routing to an engine that has them cached.
	Prefixes []uint64
}

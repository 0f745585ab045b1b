package core

import "time"

// Target is what a request is addressed to: a model, an adapter or a plain
// service.
type Target struct {
	// Service is the set of upstream hosts that can serve the request.
	Service ServiceName
	// Model is the requested model or adapter; empty for a plain service.
	Model ModelName
	// Base is the model that an adapter is loaded on; empty unless Model is an
	// adapter.
	Base ModelName
}

// Name returns the name under which the limits of the target are kept.
func (t Target) Name() string {
	if t.Model == "" {
		return string(t.Service)
	}
	return string(t.Model)
}

// Request is the metadata of a request that admission and routing decisions are
// based on. It doesn't include the body.
type Request struct {
	ID     RequestID
	Target Target
	Owner  OwnerName
	Caller CallerName
	Class  Class
	// Arrived is when the entry finished reading the request's header.
	Arrived time.Time
	// Deadline is when the caller stops waiting. No answer is sent after it.
	Deadline time.Time
	// Repeatable is set if running the request twice does no harm.
	Repeatable bool
	// Key is the caller's idempotency key, if any.
	Key string
	// Fingerprint is equal for repetitions of the same request.
	Fingerprint Fingerprint
	// Size is the length of the body.
	Size Bytes
	// Tokens is the maximum number of tokens of the answer; zero if unknown.
	Tokens int
	// Stream is set if the caller wants the answer streamed token by token.
	Stream bool
	// Prefixes are hashes of prefixes of the prompt, the shortest first. Requests
	// are routed to an engine that has a long prefix in its cache.
	Prefixes []uint64
}

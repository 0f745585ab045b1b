package core

import (
	"context"
	"time"
)

// PromptPart is one part of a prompt. Requests whose prompts begin with the same
// parts can share the prefill work for them.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestHead is the metadata that a caller on a managed platform sends with a
// request, besides method, path and body.
type RequestHead struct {
	ID RequestID
	// Deadline is when the caller stops waiting; zero if the caller sent none.
	Deadline time.Time
	// Model is empty for a plain service. Adapter is empty if none is requested.
	Model   ModelName
	Adapter string
	// Parts is the prompt in order. Only the last part is specific to the request.
	Parts []PromptPart
	// Prompt is the number of prompt tokens and Answer the maximum number of
	// tokens to generate. TokensSent is set if the caller sent both.
	Prompt, Answer int
	TokensSent     bool
	// Expected is the caller's estimate of the number of tokens that will be generated, zero
	// if there is none. It may be far off.
	Expected int
	// Key is the digest of the caller's key. It is valid only if KeyRefusal, the
	// refusal of a request without a readable key, is nil.
	Key        KeyDigest
	KeyRefusal *Refusal
	// LastEventID is the ID of the last event received of an interrupted stream that the
	// caller resumes; empty for a new stream.
	LastEventID string
	// FirstAttempt is the caller's attempt that brought the first event of that stream;
	// empty if the caller names none.
	FirstAttempt RequestID
}

// Hop is the metadata that an entry sends to an upstream with a request.
type Hop struct {
	// Incarnation is the ID of the upstream's incarnation that is to run the
	// request; any other refuses it.
	Incarnation HostName
	// Remaining is the time remaining for the upstream to run the request.
	Remaining time.Duration
	// Priority is the priority among the upstream's requests; zero is served first.
	Priority int
	// LastEventID is the ID of the event after which a stream resumes; empty for a new
	// stream.
	LastEventID string
	// Customer is the customer that the request is from; empty if unknown.
	Customer OwnerName
}

// PriorityLevels is the number of priorities that upstreams distinguish.
const PriorityLevels = 10

// Quotas accounts for the usage of customers across all entries.
type Quotas interface {
	// Take deducts units from a customer's allowance. Its refusal names the time
	// at which the units are expected to be available.
	Take(ctx context.Context, customer OwnerName, units float64) *Refusal
	// Refund returns units that were taken for a request that did not run.
	Refund(customer OwnerName, units float64)
}

// Pacer spaces the requests of all entries to upstreams that set a rate limit.
type Pacer interface {
	// Reserve makes the next reservation at an upstream that accepts rate requests
	// per second and returns its time. It reports false if that time is after by.
	Reserve(ctx context.Context, upstream HostName, rate float64, by time.Time) (at time.Time, ok bool)
	// Release returns a reservation that was not used.
	Release(upstream HostName, rate float64)
}

// AnswerHead is the metadata that an upstream sends with an answer, besides
// status and body.
type AnswerHead struct {
	// ID is the request that is answered.
	ID RequestID
	// Signed is set if the answer carries the upstream's signature.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Limit is the request rate that the upstream accepts.
	Limit RateLimit
	// Leaving is set if the upstream states that it is shutting down.
	Leaving bool
	// RetryAt is when this process may send requests to the upstream again after it
	// has rejected this one; zero if the upstream named no time.
	RetryAt time.Time
	// UnknownFields lists, sorted, the names of fields that belong to the platform
	// but that this version doesn't know.
	UnknownFields []string
}

// RateLimit is the number of requests per second that an upstream accepts from
// all entries together. The zero value means that the upstream sets no limit.
type RateLimit struct {
	// Limited is set if the upstream sets a limit.
	Limited bool
	Rate    float64
}

// Protocol maps request and answer metadata of a managed platform to the header
// fields of HTTP messages.
type Protocol interface {
	// ParseRequest reads the header of a caller's request that arrived at the given
	// time.
	ParseRequest(header map[string][]string, arrived time.Time) (RequestHead, *Refusal)
	// ForwardHeader returns the header fields for the upstream: the caller's own
	// without hop-by-hop fields, fields that callers may not set, and credentials.
	ForwardHeader(header map[string][]string, h Hop) map[string][]string
	// ParseAnswer reads the header of an upstream's answer that arrived at now with
	// the given HTTP status.
	ParseAnswer(header map[string][]string, status int, now time.Time) AnswerHead
	// ReplyHeader returns the header fields of an upstream's answer that the caller
	// receives.
	ReplyHeader(header map[string][]string) map[string][]string
	// RefusalHeader returns the header fields of the answer to a refused request.
	// They include the time to retry if the refusal has one.
	RefusalHeader(id RequestID, r *Refusal, now time.Time) map[string][]string
}

package core

import (
	"context"
	"time"
)

// PromptPart is one part of a prompt. Requests whose prompts begin with the same
// parts share the work of reading them.
type PromptPart struct {
	ID     string
	Tokens int
}

// Ask is what a caller on a managed platform says of its request beside method,
// path and body.
type Ask struct {
	ID RequestID
	// Deadline is when the caller stops waiting; zero where it does not say.
	Deadline time.Time
	// Model is empty for a plain service, Adapter where none is asked for.
	Model   ModelName
	Adapter string
	// Parts is the prompt in order; the last part is the request's own.
	Parts []PromptPart
	// Prompt and Answer are tokens: the prompt's and the most to be generated.
	// Counted tells that the caller sent them.
	Prompt, Answer int
	Counted        bool
	// Key is the digest of the caller's key where KeyFault is nil, which otherwise
	// says why none could be read.
	Key      KeyDigest
	KeyFault *Refusal
	// After is the id of the last event that the caller has of an answer which
	// broke off; empty for a new one.
	After string
}

// Hop is what an entry tells the upstream that it hands a request to.
type Hop struct {
	// Instance is the life of the upstream that is meant; any other refuses.
	Instance HostName
	// Left is how long the upstream may work.
	Left time.Duration
	// Rank is the urgency among the upstream's requests; zero goes first.
	Rank int
	// After is the id of the event after which a stream goes on; empty for one
	// that starts.
	After string
	// Customer is whom the request is from; empty where that is not known.
	Customer OwnerName
}

// Ranks is the number of urgencies that upstreams tell apart.
const Ranks = 10

// Quotas counts what customers use over all entries.
type Quotas interface {
	// Take takes units of a customer's allowance. Its refusal says when they should be
	// there.
	Take(ctx context.Context, customer OwnerName, units float64) *Refusal
	// Put gives back units that were taken for a request which did not run.
	Put(customer OwnerName, units float64)
}

// Pacer spaces the requests of all entries to upstreams that name a rate limit.
type Pacer interface {
	// Reserve makes the next reservation at an upstream that takes rate requests a second,
	// if its time comes by a time, and returns that time.
	Reserve(ctx context.Context, upstream HostName, rate float64, by time.Time) (at time.Time, ok bool)
	// Release gives back a reservation with which nothing was sent.
	Release(upstream HostName, rate float64)
}

// AnswerHead is what an upstream says of its answer beside status and body.
type AnswerHead struct {
	// ID is the request that is answered.
	ID RequestID
	// Signed tells that the answer carries the upstream's signature.
	Signed bool
	// NotRun tells that the upstream says it did not run the request.
	NotRun bool
	// Limit is the rate that the upstream names.
	Limit RateLimit
	// Leaving tells that the upstream says it leaves.
	Leaving bool
	// RetryAt is when this process may send to the upstream again, which has turned the
	// request away; zero where it does not say.
	RetryAt time.Time
	// Unknown are the names of fields that are the platform's and not known here, sorted.
	Unknown []string
}

// RateLimit is the requests a second that an upstream takes from all entries together.
// The zero RateLimit is that of an upstream which names none.
type RateLimit struct {
	Named bool
	Rate  float64
}

// Protocol is how callers and upstreams of a managed platform name these things
// in the fields of HTTP messages.
type Protocol interface {
	// Ask reads a caller's request, which arrived at a time.
	Ask(header map[string][]string, arrived time.Time) (Ask, *Refusal)
	// Forward returns the fields for the upstream: the caller's own without those
	// that concern only its connection or that callers may not set, and without
	// credentials.
	Forward(header map[string][]string, h Hop) map[string][]string
	// Answer reads the head of an upstream's answer, with its HTTP status, which came at
	// a time.
	Answer(header map[string][]string, status int, now time.Time) AnswerHead
	// Reply returns the fields of an upstream's answer that callers get.
	Reply(header map[string][]string) map[string][]string
	// Refuse returns the fields of a refusal to a request: when to come back,
	// where the refusal says so.
	Refuse(id RequestID, r *Refusal, now time.Time) map[string][]string
}

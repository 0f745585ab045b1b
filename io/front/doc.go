// Package front is the callers' interface of an entry: OpenAI-style paths for
// models, plain services under /services/, bearer keys, deadlines and
// idempotency keys in; whole or streamed answers, outcomes and typed errors out.
//
// It reads and checks requests and writes answers. What happens in between is
// the business of its Server, which the entry implements.
package front

// Package engine is the HTTP client of one upstream: a model engine, which takes
// orders besides its OpenAI-style interface, or a plain service.
//
// The client never sends a request twice. net/http repeats some requests if a
// reused connection turns out to be dead, and it does so for every request that
// has an Idempotency-Key. The client prevents that, since otherwise a request
// that must not be repeated could run twice.
package engine

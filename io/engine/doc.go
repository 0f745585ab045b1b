// Package engine is the client of one upstream: a model engine, which takes
// orders beside its OpenAI-style interface, or a plain service.
//
// It never sends a request twice. net/http repeats some requests by itself when
// a kept connection turns out to be dead, and it does so for every request that
// carries an Idempotency-Key; the client prevents that, because a call that may
// not be repeated would otherwise run twice without anybody's decision.
package engine

// Package dedupe is an agent's table of keyed requests: requests that may not
// be repeated and carry an idempotency key.
//
// A keyed request reaches the agent as a numbered attempt that was claimed in
// the platform before (see package claims). The table guarantees three things:
//
//   - An attempt is started at most once, however often it arrives.
//   - An attempt that the table has called Sealed has not run and will never
//     run here, whatever arrives later. That is what lets an entry claim the
//     next attempt.
//   - Whoever attaches to an attempt reads its whole answer from the first
//     byte, while it is running or after, or learns that it is lost.
//
// Answers are kept within a bound of bytes. A record outlives its answer: an
// answer that was evicted is reported as lost and never as unseen.
package dedupe

// Package dedupe is an agent's table of keyed requests, which deduplicates
// requests that may not be repeated and carry an idempotency key.
//
// A keyed request reaches the agent as a numbered attempt that was claimed in
// the platform before (see package claims). The table guarantees that
//
//   - an attempt is started at most once, however often it arrives;
//   - an attempt that the table has reported as Sealed has not run and will never
//     run on this agent, whatever arrives later, so that an entry may claim the
//     next attempt;
//   - a caller that attaches to an attempt reads its whole answer from the first
//     byte, during the run or after it, or learns that the answer is lost.
//
// The total size of the kept answers is bounded. A record outlives its answer:
// an attempt whose answer was evicted is reported as Lost, never as unknown.
package dedupe

// Package retry decides what happens after an attempt at a request has failed:
// another host now, another attempt later, or a final refusal.
//
// Retries are taken from a budget that grows with first attempts, so they add a
// bounded share to the load. Without a budget every hop that retries multiplies
// the load of an overloaded upstream, which then stays overloaded after the
// cause has gone.
//
// A request that may not be repeated is retried only if no attempt can have
// run. Nothing is retried after a byte of an answer has been sent to the
// caller: this package does not resume a broken answer at its offset, which is
// up to the connection that carried it.
package retry

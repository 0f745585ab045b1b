// Package retry decides what happens after an attempt at a request has failed:
// another host now, another try later, or the final refusal at once.
//
// It answers saturation and slow or failing upstreams. Retries are drawn from a
// budget that first attempts pay into, so that they add a bounded share to the
// load. Without it every hop that retries multiplies the load of an upstream
// that is already overloaded, which stays overloaded after the cause has gone.
//
// A request that may not be repeated is tried again only where no attempt can
// have run. Nothing is tried again after a byte of an answer went to the caller:
// continuing a broken answer at its offset is for the connection that carried
// it, not for this package.
package retry

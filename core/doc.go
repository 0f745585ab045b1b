// Package core holds the interfaces and value types that all of radishwell
// shares: requests, outcomes, refusals, catalogue specifications, platform
// objects, engine orders and the interfaces behind which outside systems sit.
//
// Nothing in core or below it opens a socket or a file, reads the wall clock
// or starts a timer. Every decision takes the present time as an argument and
// returns what is to be done, so that it can be tested without a network; the
// packages under radishwell/io turn events into calls on core and its answers
// into input and output.
package core

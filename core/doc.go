// Package core defines the value types and interfaces shared by all packages of
// radishwell: requests, outcomes, refusals, catalogue specifications, platform
// objects, engine orders and the interfaces to external systems.
//
// Neither core nor a package below it opens a socket or a file, reads the wall
// clock or starts a timer. Every decision takes the current time as an argument
// and returns the actions to perform, so that it can be tested without a
// network. The packages under radishwell/io translate events into calls on core
// and perform the actions that core returns.
package core

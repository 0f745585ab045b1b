// Package entry is the entry role: it admits callers' requests, holds them to
// the limits, routes each to a host that may serve it, relays the answer, and
// says honestly what became of it.
//
// Decisions are those of core/admit, core/queue, core/route, core/retry,
// core/claims and core/strike; this package holds one lock around them and
// turns their answers into calls.
package entry

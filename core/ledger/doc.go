// Package ledger accounts for the accelerator memory of one upstream host. All
// memory is reserved here, so that what the engine holds never exceeds the
// capacity of the accelerators: not with lost answers, engine restarts, unloads
// that hang or late orders of a previous agent process.
//
// A Ledger is rebuilt from the engine's report before it orders anything, and is
// compared with each later report. It has at most one order in flight: Next
// returns the order and Answer records its outcome. docs/design/memory.md and
// docs/design/fencing.md give the reasons.
package ledger

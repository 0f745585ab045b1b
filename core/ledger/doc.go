// Package ledger keeps one upstream host's accelerator memory. It is the only
// place that promises that memory, so that what the engine holds never passes
// what the accelerators have, through lost answers, engine restarts, unloads
// that hang and a predecessor's late orders.
//
// A Ledger is rebuilt from the engine's report before it orders anything and
// checked against each later report. It has at most one order under way; Next
// names it, Answer tells what became of it. docs/design/memory.md and
// docs/design/fencing.md give the reasons.
package ledger

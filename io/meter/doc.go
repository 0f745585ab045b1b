// Package meter counts what a process does and shows it to operators in the
// Prometheus text format. docs/METRICS.md is made from the same table.
//
// No metric is labelled by model, adapter, owner or caller: with thousands of
// adapters on hundreds of processes that would be millions of series. A single
// model or request is what explain is for.
package meter

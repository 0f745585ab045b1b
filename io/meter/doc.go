// Package meter collects the metrics of a process and serves them to operators in the
// Prometheus text format. docs/METRICS.md is generated from the same table.
//
// No metric is labelled by model, adapter, owner or caller: with thousands of adapters on
// hundreds of processes, that would result in millions of series. The explain command
// describes single models and requests.
package meter

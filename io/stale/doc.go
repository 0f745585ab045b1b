// Package stale reports how far a process's replicas are behind, and which exchanges with
// peers fail, in logs and metrics.
package stale

// Package stale tells operators how far a process's replicas are behind, and which exchanges with
// peers failed, in logs and metrics.
package stale

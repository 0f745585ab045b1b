// Package stale exposes, in logs and metrics, how far the replicas of a process are
// behind and which exchanges with peers fail.
package stale

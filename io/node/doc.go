// Package node puts a process together: its settings, TLS files, replicas of
// the platform's objects, peers, telemetry and servers, round the entry or the
// agent role, with one order of starting and stopping.
package node

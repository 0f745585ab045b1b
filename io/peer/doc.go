// Package peer carries the calls between the processes of this system: net/rpc with
// protobuf messages over TCP, and mutual TLS if the settings name certificate files. Its
// Store replicates the platform's objects and spreads soft state over these calls.
//
// Client keeps connections open and shares them between calls. A connection can go
// silent, because a device between its two ends has lost its state: it stays open and
// carries nothing. The client therefore pings the other side while a call is outstanding,
// closes a connection that does not answer, and dials a new one.
package peer

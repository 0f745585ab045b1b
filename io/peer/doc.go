// Package peer carries the calls between the processes of this system: net/rpc with
// protobuf messages over TCP, and mutual TLS if the settings name certificate files.
//
// Client keeps connections open and shares them between calls. A connection can go
// silent, because a device between its two ends has lost its state: it stays open and
// carries nothing. The client therefore pings the other side while a call is outstanding,
// closes a connection that does not respond, and dials a new one.
//
// Store keeps a replica of each kind of platform object that the process uses. A few
// processes watch a kind on the platform; the others get its changes from peers. In an
// exchange, which is one Sync call, a process sends a peer the digest of its replicas,
// that is, the version and age of each, and gets the changes that it lacks. The
// specifications of large objects and large sets of changes, called payloads, are
// downloaded in parts by Fetch calls. Exchanges also carry soft state: marks, which
// expire, and strikes, which package core/strike defines.
package peer

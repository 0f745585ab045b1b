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
// that is, the version and age of each, and gets the changes that it lacks. Exchanges with
// several peers go on side by side, so that none waits for a peer that is slow. The
// specifications of large objects and large sets of changes, called payloads, are left out. If
// the receiver holds an earlier version of an object, it gets a patch for that one, and otherwise
// downloads the payload in parts by Fetch calls. Exchanges also carry soft state: marks, which
// expire, and strikes, which package core/strike defines.
package peer

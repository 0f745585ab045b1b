// Package peer carries calls between the system's own processes: net/rpc with
// protobuf messages over TCP, with mutual TLS where the settings name files.
//
// Connections are kept and shared. One that has gone silent, because something
// between the two ends has lost track of it, is found by a call that asks for a
// sign of life while others are outstanding, and is closed and dialled anew.
package peer

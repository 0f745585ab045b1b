// Package catlog holds the catalogue in force: it reads the entries that operators
// edit, validates them, and answers which callers may use which model, adapter or
// service.
//
// A View receives the platform's objects and checks each entry in two stages:
//
//  1. The entry alone (checks RC1001 and up). An edit that fails is rejected: the
//     last valid version of the entry stays in force, and a Status reports why. The
//     Status also contains the valid version, so that a process that starts after a
//     rejected edit can load it.
//  2. The entry against all others (checks RC1101 and up). The result is recomputed
//     from all valid entries at every change and does not depend on the order in
//     which they arrived, so that all processes that hold the same entries agree. An
//     entry that refers to a missing one is pending: it is not served until the
//     other entry is back.
//
// Versions of an entry never go back. A deletion counts as a version.
//
// A View has one writer. Readers use Snapshots, which are immutable; their lookups
// do not allocate.
package catlog

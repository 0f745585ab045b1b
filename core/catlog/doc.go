// Package catlog holds the catalogue in force: it reads the entries that
// operators edit, says what is wrong with them and answers who may ask for what.
//
// A View is fed with the platform's objects. Each entry passes two gates:
//
//  1. By itself (checks RC1001 and on). An edit that fails is rejected: the last
//     good version of the entry stays, and a Status tells why. The Status carries
//     the good version too, so that a process that starts after a rejected edit
//     finds it.
//  2. Against the others (checks RC1101 and on). This is worked out anew from all
//     good entries at every change, whatever order they came in, so that all
//     processes that hold the same entries agree. An entry that refers to one
//     that is not there is pending: it is not served, and is again as soon as
//     the other is back.
//
// Versions of an entry never go back: a deletion counts as a version.
//
// A View has one writer. Readers use Snapshots, which never change; their
// lookups allocate nothing.
package catlog

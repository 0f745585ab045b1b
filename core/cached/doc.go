// Package cached knows which parts of prompts the engines keep.
//
// The load that it answers: long parts that many prompts begin with, at more entries than
// one. An engine that keeps a part does not read it again, and reading takes most of the time of
// such a request. An entry that knows only its own requests sends many of them to engines that
// have to read what another one keeps.
//
// The agent beside each engine follows what the engine keeps, in a Set. A Set tells its changes
// since a number, so that what a process learns of it costs as much as changes, however much is
// kept. A Book holds the sets of all engines at an entry, and numbers their changes anew for
// the entries that it tells them to.
package cached

// Package kept knows which parts of prompts the engines keep.
//
// The load that it answers: long parts that many prompts begin with, at more entries than
// one. An engine that keeps a part does not read it again, which takes most of the time of
// such a request. An entry that knows only its own requests sends one in five to an engine that
// has to read again what another has.
//
// The agent beside each engine follows what the engine keeps, in a Set. A Set tells its changes
// since a number, so that what a process learns of it costs as much as changes, however much is
// kept. A Book holds the sets of all engines at an entry, and numbers their changes anew for
// the entries that it tells them to.
package kept

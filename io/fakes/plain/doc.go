// Package plain is a stand-in for a plain service, such as a ledger or a parts
// catalogue: it echoes what it is sent and counts what it has run, so that a
// test can tell whether a call ran once. Its faults are switched over HTTP.
package plain

// Package plain is a stand-in for a plain service, such as a ledger or a parts
// catalogue. It echoes calls and counts how often it ran each of them, so that a test
// can check that a call ran once. Its faults are set over HTTP.
package plain

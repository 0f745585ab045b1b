// Package script tests the decisions about leases, grants and memory together. It
// runs several deciders and agents as state machines, connected to a simulated
// platform and simulated engines.
//
// A scenario is a text file under testdata with one directive per line. The
// directives are listed in lang_test.go. The invariants are checked after each
// directive. TestRandom runs random directives with fixed seeds. To run more of
// them, use
//
//	go test ./core/script -run Random -steps 1000000
package script

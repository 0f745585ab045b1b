// Package script holds the scenarios in which the decisions about leases,
// grants and memory are tried together: several deciders and agents as state
// machines, with a fake platform and fake engines at their interfaces.
//
// A scenario is a text file under testdata with one directive a line; lang_test.go
// lists the directives. After each one the invariants are checked. The same
// directives, drawn at random with fixed seeds, run in TestRandom; many more with
//
//	go test ./core/script -run Random -steps 1000000
package script

// Package cmds is the full command line of radishwell and that of its stand-ins:
// what the flags are, and which part of the system each command runs.
package cmds

// Package cmds is the command line of radishwell and of its stand-ins: what the
// flags are, and which part of the system each command runs.
package cmds

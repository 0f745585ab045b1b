// Package cmds implements the command lines of radishwell, of its stand-ins and of
// the soak test. It declares the flags of each command and runs the package that
// does the work.
package cmds

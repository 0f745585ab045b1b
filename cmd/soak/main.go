// Command soak runs radishwell's programs on this machine under faults drawn from
// seeds, and reports promises that were broken. See soak --help.
package main

import (
	"os"

	"radishwell/io/cmds"
)

func main() { os.Exit(cmds.Soak(os.Args[1:], os.Stdout, os.Stderr)) }

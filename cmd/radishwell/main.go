// Command radishwell serves models that are rarely used. See radishwell --help.
package main

import (
	"os"

	"radishwell/io/cmds"
)

func main() { os.Exit(cmds.Radishwell(os.Args[1:], os.Stdout, os.Stderr)) }

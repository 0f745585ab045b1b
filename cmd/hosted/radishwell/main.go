// Command radishwell is the build of radishwell for managed platforms. It runs
// entries and agents, checks files and explains decisions. See radishwell --help.
package main

import (
	"os"

	"radishwell/io/hosted"
)

func main() { os.Exit(hosted.Radishwell(os.Args[1:], os.Stdout, os.Stderr)) }

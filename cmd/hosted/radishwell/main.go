// Command radishwell, as managed platforms run it: entries and agents, checks and
// explanations. See radishwell --help.
package main

import (
	"os"

	"radishwell/io/hosted"
)

func main() { os.Exit(hosted.Radishwell(os.Args[1:], os.Stdout, os.Stderr)) }

// Command standin runs stand-ins of the systems that radishwell works with: the
// platform, model engines and plain services. See standin --help.
package main

import (
	"os"

	"radishwell/io/cmds"
)

func main() { os.Exit(cmds.Standin(os.Args[1:], os.Stdout, os.Stderr)) }

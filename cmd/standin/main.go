// Command standin runs stand-ins of the systems that radishwell works with: the
// platform, model engines and plain services. See standin --help.
package main

import (
	"os"

	"radishwell/io/cmds"
	"radishwell/io/hosted"
	"radishwell/io/trap"
)

func main() {
	signals := hosted.Signals{Stop: trap.Stop, Reload: trap.Reload, HangupIgnored: trap.HangupIgnored}
	os.Exit(cmds.Standin(os.Args[1:], os.Stdout, os.Stderr, signals))
}

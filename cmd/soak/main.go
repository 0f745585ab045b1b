// Command soak runs the programs of radishwell on this machine, injects faults
// that are drawn from seeds, and reports violated guarantees. See soak --help.
package main

import (
	"os"

	"radishwell/io/cmds"
	"radishwell/io/hosted"
	"radishwell/io/trap"
)

func main() {
	signals := hosted.Signals{Stop: trap.Stop, Reload: trap.Reload, HangupIgnored: trap.HangupIgnored}
	os.Exit(cmds.Soak(os.Args[1:], os.Stdout, os.Stderr, signals))
}

// Command radishwell serves models that are rarely used. See radishwell --help.
package main

import (
	"os"

	"radishwell/io/cmds"
	"radishwell/io/hosted"
	"radishwell/io/trap"
)

func main() {
	signals := hosted.Signals{Stop: trap.Stop, Reload: trap.Reload, HangupIgnored: trap.HangupIgnored}
	os.Exit(cmds.Radishwell(os.Args[1:], os.Stdout, os.Stderr, signals))
}

// Command radishwell is the build of radishwell for managed platforms. It runs
// entries and agents, checks files and explains decisions. See radishwell --help.
package main

import (
	"os"

	"radishwell/io/hosted"
	"radishwell/io/trap"
)

func main() {
	signals := hosted.Signals{Stop: trap.Stop, Reload: trap.Reload, HangupIgnored: trap.HangupIgnored}
	os.Exit(hosted.Radishwell(os.Args[1:], os.Stdout, os.Stderr, signals))
}

package trap

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	// Stop receives SIGINT and SIGTERM, and Reload SIGHUP.
	Stop, Reload = make(chan os.Signal, 1), make(chan os.Signal, 1)
	// HangupIgnored is set if the program was started with SIGHUP ignored, as nohup does.
	HangupIgnored = signal.Ignored(syscall.SIGHUP)
)

// Packages are initialized in the order of their import paths once what they import is. This one
// imports so little that it comes before the libraries, whose initialization takes milliseconds.
func init() {
	signal.Notify(Stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(Reload, syscall.SIGHUP)
}

package events

import (
	"bytes"
	"flag"
	"log"
	"strconv"

	"github.com/samber/oops"
	"k8s.io/klog/v2"
)

// SetVerbosity sets the level up to which events of the process are written.
func SetVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return oops.In("events").Wrapf(flags.Set("v", strconv.Itoa(level)), "set verbosity")
}

// Logger returns a logger that writes each line as an event. It is for libraries that
// accept a logger, such as net/http for connections that fail before a request.
func Logger(e Event) *log.Logger { return log.New(lineWriter{e}, "", 0) }

// lineWriter writes each line of text as an event.
type lineWriter struct{ event Event }

// Write implements io.Writer.
func (l lineWriter) Write(text []byte) (int, error) {
	Log(l.event, "detail", string(bytes.TrimSpace(text)))
	return len(text), nil
}

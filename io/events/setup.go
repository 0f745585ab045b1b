package events

import (
	"flag"
	"io"
	"strconv"

	"k8s.io/klog/v2"
)

// Verbosity sets the level up to which events are written.
func Verbosity(level int) {
	var set flag.FlagSet
	klog.InitFlags(&set)
	// The flag takes any whole number.
	_ = set.Set("v", strconv.Itoa(level))
}

// Discard keeps all events from being written.
func Discard() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/objapi"
)

// TestOutageDetector guards against an outage of the platform that is not logged. One
// lost call is no outage, a refused update is a response, and a call over the process's
// own budget shows nothing about the platform.
func TestOutageDetector(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return t0.Add(time.Duration(seconds) * time.Second) }
	lost := &core.PlatformError{Fault: core.Unavailable}
	for _, c := range []struct {
		name   string
		steps  func(d *outageDetector)
		logged bool
	}{
		{"one lost call", func(d *outageDetector) { d.record(at(0), lost) }, false},
		{"an outage", func(d *outageDetector) { d.record(at(0), lost); d.record(at(4), lost) }, true},
		{"a response between", func(d *outageDetector) { d.record(at(0), lost); d.record(at(2), nil); d.record(at(4), lost) }, false},
		{"a conflict between", func(d *outageDetector) {
			d.record(at(0), lost)
			d.record(at(2), &core.PlatformError{Fault: core.Conflict})
			d.record(at(4), lost)
		}, false},
		{"over budget", func(d *outageDetector) {
			over := &core.PlatformError{Fault: core.Unavailable, Cause: &objapi.BudgetError{}}
			d.record(at(0), over)
			d.record(at(9), over)
		}, false},
		{"back again", func(d *outageDetector) { d.record(at(0), lost); d.record(at(4), lost); d.record(at(5), nil) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d outageDetector
			c.steps(&d)
			assert.Equal(t, d.logged, c.logged)
		})
	}
}

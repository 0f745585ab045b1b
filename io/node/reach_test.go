package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/io/objapi"
)

// The platform was down for an evening, and no log said so: the event stood on
// the page and nothing wrote it. One lost call is no outage, a refused update is
// an answer, and a call over the process's own budget tells nothing.
func TestReach(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return t0.Add(time.Duration(seconds) * time.Second) }
	lost := &core.PlatformError{Fault: core.Unavailable}
	for _, c := range []struct {
		name  string
		steps func(r *reach)
		told  bool
	}{
		{"one lost call", func(r *reach) { r.note(at(0), lost) }, false},
		{"an outage", func(r *reach) { r.note(at(0), lost); r.note(at(4), lost) }, true},
		{"an answer between", func(r *reach) { r.note(at(0), lost); r.note(at(2), nil); r.note(at(4), lost) }, false},
		{"a conflict between", func(r *reach) {
			r.note(at(0), lost)
			r.note(at(2), &core.PlatformError{Fault: core.Conflict})
			r.note(at(4), lost)
		}, false},
		{"over budget", func(r *reach) {
			over := &core.PlatformError{Fault: core.Unavailable, Cause: &objapi.BudgetError{}}
			r.note(at(0), over)
			r.note(at(9), over)
		}, false},
		{"back again", func(r *reach) { r.note(at(0), lost); r.note(at(4), lost); r.note(at(5), nil) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r reach
			c.steps(&r)
			assert.Equal(t, r.told, c.told)
		})
	}
}

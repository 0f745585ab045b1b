package agenda_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/agenda"
)

func TestOrder(t *testing.T) {
	var a agenda.Agenda[string]
	at := time.Unix(100, 0)
	a.Put(at.Add(2), "third")
	a.Put(at, "first")
	a.Put(at, "second")
	next, ok := a.Next()
	assert.Assert(t, ok && next.Equal(at))
	for _, want := range []string{"first", "second", "third"} {
		_, got := a.Take()
		assert.Equal(t, got, want)
	}
	_, ok = a.Next()
	assert.Assert(t, !ok)
}

package eventq_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core/eventq"
)

func TestOrder(t *testing.T) {
	var a eventq.Queue[string]
	at := time.Unix(100, 0)
	a.Push(at.Add(2), "third")
	a.Push(at, "first")
	a.Push(at, "second")
	next, ok := a.NextTime()
	assert.Assert(t, ok && next.Equal(at))
	for _, want := range []string{"first", "second", "third"} {
		_, got := a.Pop()
		assert.Equal(t, got, want)
	}
	_, ok = a.NextTime()
	assert.Assert(t, !ok)
}

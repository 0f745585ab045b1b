package stream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/stream"
)

func TestInsideEvent(t *testing.T) {
	for _, c := range []struct {
		text string
		want bool
	}{
		{"", false},
		{"id: 1\ndata: a\n\n", false},
		{"id: 1\r\ndata: a\r\n\r\n", false},
		{"data: a\r\r", false},
		{"data: a\n\n\n", false},
		{"data: a\n\n: waiting\n", false},
		{"i", true},
		{"id: 1\n", true},
		{"id: 1\r\n", true},
		{"id: 1\ndata: a", true},
		{"id: 1\ndata: a\n", true},
		{"id: 1\ndata: a\n: waiting\n", true},
		{"data: a\n\n: wait", true},
		{"data: a\n\nid: 2\n", true},
	} {
		t.Run(c.text, func(t *testing.T) {
			var whole, parts stream.Position
			whole.Add([]byte(c.text))
			for i := range c.text {
				parts.Add([]byte(c.text[i : i+1]))
			}
			assert.Equal(t, whole.InsideEvent(), c.want)
			assert.Equal(t, parts.InsideEvent(), c.want, "read byte by byte")
		})
	}
}

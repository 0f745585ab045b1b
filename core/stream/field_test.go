package stream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/stream"
)

func TestIsEventField(t *testing.T) {
	for line, want := range map[string]bool{
		"data: a\n": true, "id:1\r\n": true, "event: x": true, "data\n": true,
		"": false, "\n": false, ": data\n": false, "dat: a\n": false, "data : a\n": false, "versions: 2\n": false, "zz\n": false,
	} {
		assert.Equal(t, stream.IsEventField([]byte(line)), want, "%q", line)
	}
}

package stream_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/stream"
)

func TestObjectEnds(t *testing.T) {
	for text, want := range map[string]bool{
		"{}": true, " {\"a\":[{}]} \r\n": true, `{"a":"}","b":"\"}"}`: true, `{"a":"\\"}`: true,
		"": false, "{": false, `{"a":{}`: false, `{"a":"}`: false, `{"a":"\"}`: false, "[]": false, "[{}": false, "1": false, "{} x": false,
	} {
		t.Run(text, func(t *testing.T) {
			var d stream.Document
			d.Add([]byte(text))
			assert.Equal(t, d.ObjectEnds(), want)
		})
	}
	t.Run("no part of an object", func(t *testing.T) {
		const text = `{"id":"x\\\"}","choices":[{"message":{"content":"{\"a\":[1,{}]}"}},{}],"usage":{"n":2}}`
		assert.Assert(t, json.Valid([]byte(text)))
		var d stream.Document
		for i := range text {
			assert.Equal(t, d.ObjectEnds(), false, text[:i])
			d.Add([]byte{text[i]})
		}
		assert.Equal(t, d.ObjectEnds(), true)
	})
}

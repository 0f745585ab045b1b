package jscan_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core/jscan"
)

// deep returns a value that is nested so many levels deep.
func deep(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

func TestFields(t *testing.T) {
	fields, ok := jscan.Fields([]byte(` {"a": 1, "b\u0063":"x\"}", "d" : ` + deep(50_000) + `,"e":null} `))
	assert.Assert(t, ok)
	assert.Equal(t, len(fields), 4)
	assert.Equal(t, string(fields["a"]), "1")
	assert.Equal(t, string(fields["bc"]), `"x\"}"`)
	assert.Equal(t, len(fields["d"]), 100_000)
	for _, text := range []string{"", "[]", "{", `{"a"}`, `{"a":1 "b":2}`, `{"a":1,}`, `{1:2}`, `{"a":1}x`} {
		_, ok := jscan.Fields([]byte(text))
		assert.Assert(t, !ok, text)
	}
}

func TestItems(t *testing.T) {
	items, ok := jscan.Items([]byte(`[ {"a":[1,2]}, ` + deep(50_000) + ` ,3,"]"]`))
	assert.Assert(t, ok)
	assert.Equal(t, len(items), 4)
	assert.Equal(t, string(items[0]), `{"a":[1,2]}`)
	assert.Equal(t, string(items[3]), `"]"`)
	for _, text := range []string{"", "{}", "[", "[1 2]", "[1,]", "[1]]"} {
		_, ok := jscan.Items([]byte(text))
		assert.Assert(t, !ok, text)
	}
}

// FuzzParts checks that a text is split as encoding/json does, where that takes it, and that no text
// panics.
func FuzzParts(f *testing.F) {
	for _, seed := range []string{`{"a":{"b":[1,"\\"]},"c":null}`, `[[],{},"x",-1e5]`, `{"":""}`, `[`, `{"a`, `"\`, `[1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		fields, isObject := jscan.Fields(text)
		items, isArray := jscan.Items(text)
		if !json.Valid(text) {
			return
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(text, &object) == nil && object != nil {
			assert.Assert(t, isObject, "%q", text)
			assert.Equal(t, len(fields), len(object), "%q", text)
			for name, value := range object {
				assert.Equal(t, string(fields[name]), string(value))
			}
		}
		var array []json.RawMessage
		if json.Unmarshal(text, &array) == nil && array != nil {
			assert.Assert(t, isArray, "%q", text)
			assert.Equal(t, len(items), len(array), "%q", text)
			for i, value := range array {
				assert.Equal(t, string(items[i]), string(value))
			}
		}
	})
}

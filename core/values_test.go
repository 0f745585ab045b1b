package core_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// FuzzBytes checks that a parsed size is never negative and survives a round
// trip through its text.
func FuzzBytes(f *testing.F) {
	for _, text := range []string{"8GiB", "512 MiB", "0B", "9223372036854775807B", "8388608TiB", "-1B", "8", "GiB", "1e3KiB"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var b, again core.Bytes
		if b.UnmarshalText([]byte(text)) != nil {
			assert.Equal(t, b, core.Bytes(0))
			return
		}
		assert.Assert(t, b >= 0)
		assert.NilError(t, again.UnmarshalText([]byte(b.String())))
		assert.Equal(t, again, b)
	})
}

// FuzzClass checks that a parsed class is valid and that its text is the one it
// was parsed from.
func FuzzClass(f *testing.F) {
	for _, text := range []string{"interactive", "evening", "overnight", "", "Evening", "unknown"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var c core.Class
		if c.UnmarshalText([]byte(text)) != nil {
			return
		}
		assert.Assert(t, c < core.ClassCount)
		assert.Equal(t, c.String(), text)
	})
}

// FuzzFingerprint checks that a parsed fingerprint survives a round trip through its text, and that
// text that is none is not taken for one.
func FuzzFingerprint(f *testing.F) {
	for _, text := range []string{"00000000000000ff", "ff", "0", "", "llm/part", "-1", "10000000000000000"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, ok := core.ParseFingerprint(text)
		if !ok {
			assert.Equal(t, got, core.Fingerprint(0))
			return
		}
		again, ok := core.ParseFingerprint(got.String())
		assert.Assert(t, ok)
		assert.Equal(t, again, got)
	})
}

package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

func TestFreeMemory(t *testing.T) {
	t.Run("unknown is not empty", func(t *testing.T) {
		assert.Equal(t, DecodeFree(EncodeFree(core.FreeMemory{})), core.FreeMemory{})
		assert.Equal(t, DecodeFree(EncodeFree(core.FreeMemory{Known: true})), core.FreeMemory{Known: true})
	})
	t.Run("never more than there is", func(t *testing.T) {
		assert.Equal(t, DecodeFree(EncodeFree(core.FreeMemory{Known: true, Tokens: 90_000})).Tokens, int64(89_856))
	})
}

// FuzzDecodeFree: another process reports any number, which must stay a sum that can be counted with.
func FuzzDecodeFree(f *testing.F) {
	f.Add(uint32(0))
	f.Add(^uint32(0))
	f.Fuzz(func(t *testing.T, steps uint32) {
		got := DecodeFree(steps)
		assert.Assert(t, got.Tokens >= 0 && got.Tokens <= maxMemorySteps*memoryStep && got.Known == (steps != 0))
	})
}

// FuzzEncodeFree: an engine reports any memory.
func FuzzEncodeFree(f *testing.F) {
	f.Add(int64(-1), int64(1<<62))
	f.Fuzz(func(t *testing.T, used, size int64) {
		state := core.UpstreamState{MemoryUsed: used, MemorySize: size}
		got := DecodeFree(EncodeFree(state.FreeMemory()))
		assert.Assert(t, got.Tokens >= 0 && got.Tokens <= max(0, size))
	})
}

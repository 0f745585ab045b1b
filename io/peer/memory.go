package peer

import "radishwell/core"

const (
	// memoryStep is the number of tokens in a step of a free prompt memory on the wire.
	memoryStep = 256
	// maxMemorySteps bounds what another process may report.
	maxMemorySteps = 1 << 22
)

// EncodeFree encodes a free prompt memory, rounded down to a step; zero if it is unknown.
func EncodeFree(f core.FreeMemory) uint32 {
	if !f.Known {
		return 0
	}
	return uint32(min(max(0, f.Tokens)/memoryStep, maxMemorySteps)) + 1
}

// DecodeFree decodes a free prompt memory.
func DecodeFree(steps uint32) core.FreeMemory {
	if steps == 0 {
		return core.FreeMemory{}
	}
	return core.FreeMemory{Known: true, Tokens: int64(min(steps-1, maxMemorySteps)) * memoryStep}
}

package core

// Framing is the way in which an HTTP response shows where its body ends.
type Framing uint8

// Framings of responses.
const (
	// FramingUnknown: there was no response.
	FramingUnknown Framing = iota
	// FramedByLength: the header states the length of the body.
	FramedByLength
	// FramedByChunks: the body comes in chunks, and an empty one ends it.
	FramedByChunks
	// Unframed: the body ends with its connection. One that was broken off by an orderly
	// close has the same end as a complete one.
	Unframed
)

var framingNames = [...]string{"unknown", "length", "chunks", "none"}

// String returns the framing's name in logs and metrics.
func (f Framing) String() string { return framingNames[f] }

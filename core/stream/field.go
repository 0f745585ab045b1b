package stream

import (
	"bytes"
	"slices"
)

// eventFields are the fields without one of which there is no event.
var eventFields = []string{"data", "id", "event"}

// IsEventField reports whether a line, with its end or without, is a field of an event. Comments, blank
// lines and unknown fields alone make none.
func IsEventField(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	return slices.Contains(eventFields, string(name))
}

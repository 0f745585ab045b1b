package proxy

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a log that tells of the same unknown field with each answer.
func TestUnknownFieldIsToldOnce(t *testing.T) {
	p := &Proxy{Clock: &stepClock{}}
	p.Start()
	assert.DeepEqual(t, p.firstSeen([]string{"a", "b"}), []string{"a", "b"})
	assert.DeepEqual(t, p.firstSeen([]string{"b", "c"}), []string{"c"})
	for i := range 1000 {
		p.firstSeen([]string{fmt.Sprint(i)})
	}
	assert.Equal(t, len(p.unknown), mostUnknown)
}

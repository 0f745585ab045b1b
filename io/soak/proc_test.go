package soak

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCloseBetweenStarts guards against a Close that never returns. If Close was called
// between the end of a process and its restart, the process was started once more after
// Close had looked for one to kill, and Close waited for it forever.
func TestCloseBetweenStarts(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	// The process runs no test and ends at once.
	p := &Proc{Name: "entry", Args: []string{self, "-test.run", "^$"}, Dir: t.TempDir()}
	assert.NilError(t, p.Run())
	for p.running() {
		time.Sleep(time.Millisecond)
	}
	starts := p.Starts()
	p.Close()
	assert.Equal(t, p.Starts(), starts)
}

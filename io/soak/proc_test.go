package soak

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A soak ended in the moment between a process's end and its next start. The keeper
// started it once more after it had been told to stop, and the soak waited for that
// one for ever.
func TestCloseBetweenStarts(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	// It runs no test and ends at once.
	p := &Proc{Name: "entry", Args: []string{self, "-test.run", "^$"}, Dir: t.TempDir()}
	assert.NilError(t, p.Run())
	for p.running() {
		time.Sleep(time.Millisecond)
	}
	starts := p.Starts()
	p.Close()
	assert.Equal(t, p.Starts(), starts)
}

package hosted

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

type brokenCLI struct {
	Break breakCmd `cmd:""`
}

type breakCmd struct{}

func (breakCmd) Run() error {
	var chart []int
	_ = chart[len(chart)]
	return nil
}

// A chart's library panicked at the end of a load test, and the command ended
// with status 0 and no word: the recovery meant for --help took every panic.
func TestPanicIsNoSuccess(t *testing.T) {
	var out, errs bytes.Buffer
	call := func(args ...string) int { return Run(&brokenCLI{}, "broken", "", args, &out, &errs) }
	assert.Equal(t, call("--help"), exitOK)
	assert.Equal(t, call("--nonsense"), exitUsage)
	defer func() { assert.Assert(t, recover() != nil) }()
	call("break")
	t.Fatal("the panic was lost")
}

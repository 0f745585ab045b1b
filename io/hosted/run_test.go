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

// Guards against recovering from every panic instead of only from the exit after --help. A
// panic of a chart library at the end of a load test ended the command with status 0 and no
// message.
func TestPanicIsNoSuccess(t *testing.T) {
	var out, errs bytes.Buffer
	call := func(args ...string) int { return Run(&brokenCLI{}, "broken", "", args, &out, &errs, Signals{}) }
	assert.Equal(t, call("--help"), exitOK)
	assert.Equal(t, call("--nonsense"), exitUsage)
	defer func() { assert.Assert(t, recover() != nil) }()
	call("break")
	t.Fatal("the panic was lost")
}

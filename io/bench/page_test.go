package bench

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"radishwell/core/strict"
)

const (
	operatorsPage = "../../docs/operators/bench.md"
	tableHead     = "| key | default | range | meaning |\n| --- | --- | --- | --- |\n"
)

// TestPage checks that the page for operators lists all keys of an experiment, as the
// tags of the fields describe them.
func TestPage(t *testing.T) {
	old, err := os.ReadFile(operatorsPage)
	assert.NilError(t, err)
	text, _, ok := strings.Cut(string(old), tableHead)
	assert.Assert(t, ok, "the page has no table of keys")
	var b strings.Builder
	b.WriteString(text + tableHead)
	for _, f := range strict.Fields(Plan{}) {
		assert.Assert(t, f.Doc != "", "%s has no text", f.Key)
		value, limits := f.Default, ""
		if f.Required {
			value = "needed"
		}
		if f.Max != "" {
			limits = f.Min + " to " + f.Max
		}
		b.WriteString("| `" + strings.Join([]string{f.Key + "`", value, limits, f.Doc}, " | ") + " |\n")
	}
	golden.Assert(t, b.String(), "../"+operatorsPage)
}

// TestExamples checks that the example experiments of the repository are valid.
func TestExamples(t *testing.T) {
	for _, name := range []string{"mixed", "evening", "site", "pair", "soak", "rolling"} {
		t.Run(name, func(t *testing.T) {
			_, err := Load("../../examples/bench/" + name + ".yaml")
			assert.NilError(t, err)
		})
	}
}

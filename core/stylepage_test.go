package core_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStylePage checks that docs/STYLE.md has exactly one row for each rule, in
// the same order.
func TestStylePage(t *testing.T) {
	page, err := os.ReadFile("../docs/STYLE.md")
	assert.NilError(t, err)
	var want, got []string
	for _, r := range styleRules {
		want = append(want, "| "+r.id+" | "+r.text+" |")
	}
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| RS") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	assert.DeepEqual(t, got, want)
}

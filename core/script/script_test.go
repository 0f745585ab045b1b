package script

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// runScenario runs a scenario and returns the first violation, if any, and its
// line.
func runScenario(text string) (violation string, line int) {
	w := newWorld()
	for i, l := range strings.Split(text, "\n") {
		w.exec(l)
		if w.check.failed != "" {
			return w.check.failed, i + 1
		}
	}
	return "", 0
}

// TestScenarios runs testdata/*.txt. Each file starts with a comment that
// describes the scenario.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(text), "# "), "a scenario must start with a description")
			if violation, line := runScenario(string(text)); violation != "" {
				t.Fatalf("%s:%d: %s", f, line, violation)
			}
		})
	}
}

// TestChecksSee runs testdata/broken/*.txt. Each file enables a deliberate fault,
// which the check named in its first line must detect.
func TestChecksSee(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			assert.NilError(t, err)
			want, ok := strings.CutPrefix(strings.SplitN(string(text), "\n", 2)[0], "# sees ")
			assert.Assert(t, ok, "the first line must name the check")
			violation, _ := runScenario(string(text))
			assert.Assert(t, strings.HasPrefix(violation, want+":"), "found %q", violation)
			// Without the fault, the same scenario must pass the checks.
			withoutFault := strings.ReplaceAll(string(text), "\nbreak ", "\n# ")
			violation, _ = runScenario(withoutFault)
			assert.Equal(t, violation, "")
		})
	}
}

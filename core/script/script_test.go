package script

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// play runs a scenario's lines and returns the first breach with its line.
func play(text string) (breach string, line int) {
	w := newWorld()
	for i, l := range strings.Split(text, "\n") {
		w.exec(l)
		if w.check.failed != "" {
			return w.check.failed, i + 1
		}
	}
	return "", 0
}

// TestScenarios plays testdata/*.txt. Each opens with its story.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(text), "# "), "a scenario opens with its story")
			if breach, line := play(string(text)); breach != "" {
				t.Fatalf("%s:%d: %s", f, line, breach)
			}
		})
	}
}

// TestChecksSee plays testdata/broken/*.txt: in each a deliberate fault must be
// seen by the check that the file's first line names.
func TestChecksSee(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			assert.NilError(t, err)
			want, ok := strings.CutPrefix(strings.SplitN(string(text), "\n", 2)[0], "# sees ")
			assert.Assert(t, ok, "the first line names the check")
			breach, _ := play(string(text))
			assert.Assert(t, strings.HasPrefix(breach, want+":"), "found %q", breach)
			// Without the fault the same lines pass the checks.
			sound := strings.ReplaceAll(string(text), "\nbreak ", "\n# ")
			breach, _ = play(sound)
			assert.Equal(t, breach, "")
		})
	}
}

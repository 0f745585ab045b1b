package catlog_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"radishwell/core/catlog"
)

// update writes what the checks report into their testdata, to be read and
// committed like any other change.
var update = flag.Bool("update-checks", false, "write the problems found into testdata/checks")

// Each check has a file that breaks it and, as far as that can be had, nothing
// else; the file's want part holds all problems.
func TestEachCheck(t *testing.T) {
	for _, check := range catlog.Checks() {
		if check.ID == catlog.CheckKeyTaken {
			// It is about an edit to a catalogue in force: TestDigestOfAnother.
			continue
		}
		t.Run(string(check.ID), func(t *testing.T) {
			path := filepath.Join("testdata", "checks", string(check.ID)+".txtar")
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			_, problems := catlog.Read(catlog.Source{Name: "file.yaml", Text: archive.Files[0].Data})
			got := problems.Error() + "\n"
			if *update {
				archive.Files[1].Data = []byte(got)
				assert.NilError(t, os.WriteFile(path, txtar.Format(archive), 0o600))
			}
			assert.Equal(t, got, string(archive.Files[1].Data))
			if check.ID != catlog.CheckForm {
				assert.Assert(t, strings.Contains(got, string(check.ID)+" "))
			}
		})
	}
}

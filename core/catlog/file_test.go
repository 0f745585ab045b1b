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

// update makes TestEachCheck write the problems found to testdata/checks. The
// differences are to be reviewed before they are committed.
var update = flag.Bool("update-checks", false, "write the problems found into testdata/checks")

// TestEachCheck checks that each check has a file that fails it and, if possible, no
// other check. The second part of the file lists all expected problems.
func TestEachCheck(t *testing.T) {
	for _, check := range catlog.Checks() {
		if check.ID == catlog.CheckKeyTaken {
			// This check needs a catalogue in force; see TestDigestOfAnother.
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

package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"radishwell/core"
	"radishwell/core/strict"
	"radishwell/io/config"
)

// cases returns the settings in testdata/settings.txtar and the problems expected for
// each.
func cases(t testing.TB) (files []txtar.File, wants []string) {
	t.Helper()
	archive, err := txtar.ParseFile("testdata/settings.txtar")
	assert.NilError(t, err)
	for i := 0; i+1 < len(archive.Files); i += 2 {
		in, want := archive.Files[i], archive.Files[i+1]
		assert.Equal(t, want.Name, strings.TrimSuffix(in.Name, ".yaml")+".want")
		files = append(files, in)
		wants = append(wants, strings.TrimSuffix(string(want.Data), "\n"))
	}
	return files, wants
}

func TestSettings(t *testing.T) {
	files, wants := cases(t)
	for i, f := range files {
		t.Run(f.Name, func(t *testing.T) {
			_, problems := config.Parse("f", f.Data)
			assert.Equal(t, problems.Error(), wants[i])
		})
	}
}

func TestDefaults(t *testing.T) {
	files, _ := cases(t)
	s, problems := config.Parse("f", files[0].Data)
	assert.NilError(t, problems.Err())
	assert.Equal(t, s.Limits.MaxBody, 8*core.MiB)
	assert.Equal(t, s.Limits.StopGrace, 24*time.Hour)
	assert.Equal(t, s.Telemetry.SampleRatio, 1.0)
	arrived := time.Unix(1000, 0)
	assert.Equal(t, s.Limits.Deadlines.At(core.Interactive, arrived), arrived.Add(30*time.Second))
	assert.Equal(t, s.Limits.Deadlines.At(core.Evening, arrived), arrived.Add(2*time.Minute))
	assert.Equal(t, s.Limits.Deadlines.At(core.Overnight, arrived), arrived.Add(8*time.Hour))
}

// write writes a text to a file in a new directory and returns its path.
func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoad(t *testing.T) {
	files, _ := cases(t)
	t.Run("paths start at the file", func(t *testing.T) {
		path := write(t, "agent.yaml", string(files[1].Data))
		s, err := config.Load(path)
		assert.NilError(t, err)
		assert.Equal(t, s.TLS.Key, filepath.Join(filepath.Dir(path), "keys/agent-1.key"))
		assert.Equal(t, s.Platform.TokenFile, "/etc/radishwell/token")
	})
	t.Run("problems are typed", func(t *testing.T) {
		_, err := config.Load(write(t, "bad.yaml", "role: clerk\n"))
		var problems strict.Problems
		assert.Assert(t, errors.As(err, &problems))
		assert.Equal(t, len(problems), 6)
	})
	t.Run("no file", func(t *testing.T) {
		_, err := config.Load(filepath.Join(t.TempDir(), "absent.yaml"))
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

// assertCheck runs Check on the files of an archive and compares the report, from which
// the directory is removed.
func assertCheck(t *testing.T, archive, want string) {
	t.Helper()
	dir := t.TempDir()
	var paths []string
	for _, f := range txtar.Parse([]byte(archive)).Files {
		path := filepath.Join(dir, f.Name)
		assert.NilError(t, os.WriteFile(path, f.Data, 0o600))
		paths = append(paths, path)
	}
	got := strings.ReplaceAll(config.Check(paths...).Error(), dir+"/", "")
	assert.Equal(t, got, want)
}

const entryText = `role: entry
name: entry-1
data-centre: lac-deux
listen: {callers: 10.0.0.1:80, control: 10.0.0.1:9001, operators: 10.0.0.1:9002}
platform: {urls: ["http://10.0.0.9:8001"]}
tls: {ca: ca.crt, cert: a.crt, key: a.key}
`

func TestCheck(t *testing.T) {
	t.Run("settings and catalogue", func(t *testing.T) {
		assertCheck(t, "-- a.yaml --\n"+entryText+`-- b.yaml --
kind: services
name: qalam
spec: {type: engine}
-- c.yaml --
kind: models
name: ledger
spec: {owner: nadi, service: qalam, class: evening, memory: 8GiB}
`, `c.yaml:3:8: spec.owner: RC1101 "nadi" is not in the catalogue`)
	})
	t.Run("two hosts of one name and address", func(t *testing.T) {
		assertCheck(t, "-- a.yaml --\n"+entryText+"-- b.yaml --\n"+entryText,
			`b.yaml:2:1: name: is the name of the host in a.yaml too
b.yaml:4:10: listen.callers: is an address in a.yaml too
b.yaml:4:32: listen.control: is an address in a.yaml too
b.yaml:4:56: listen.operators: is an address in a.yaml too`)
	})
	t.Run("all files are reported", func(t *testing.T) {
		assertCheck(t, "-- a.yaml --\nrole: [\n-- b.yaml --\ncolour: red\n-- c.yaml --\nkind: models\nname: x\n",
			`a.yaml:1:7: sequence end token ']' not found
b.yaml: neither settings (role, listen, ...) nor catalogue entries (kind, name, spec)
c.yaml:1:1: spec: is missing`)
	})
	t.Run("absent file", func(t *testing.T) {
		assert.Equal(t, len(config.Check(filepath.Join(t.TempDir(), "absent"))), 1)
	})
}

// FuzzSettings parses arbitrary texts. There must be no panic, and valid settings must
// have the addresses that their role requires.
func FuzzSettings(f *testing.F) {
	files, _ := cases(f)
	for _, file := range files {
		f.Add(file.Data)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := config.Parse("f", text)
		if len(problems) > 0 {
			return
		}
		assert.Assert(t, s.Listen.Control.Port() > 0)
		assert.Assert(t, s.Listen.Callers.IsValid() == (s.Role == config.Entry))
		assert.Assert(t, s.Listen.Work.IsValid() == (s.Role == config.Agent))
	})
}

// FuzzOrigin checks that a base address that can be parsed is unchanged after it was
// written and parsed again.
func FuzzOrigin(f *testing.F) {
	for _, text := range []string{"http://127.0.0.1:80", "https://[::1]:443/", "http://a:80", "http://u@1.1.1.1:1", "//1.1.1.1:1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var o, again config.Origin
		if o.UnmarshalText([]byte(text)) != nil {
			assert.Assert(t, !o.IsSet())
			return
		}
		assert.NilError(t, again.UnmarshalText([]byte(o.String())))
		assert.Equal(t, again, o)
	})
}

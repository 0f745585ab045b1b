package hosted

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const entrySettings = `role: entry
name: entry-1
data-centre: lac-deux
listen: {callers: 10.0.0.1:80, control: 10.0.0.1:9001, operators: 10.0.0.1:9002}
platform: {urls: ["http://10.0.0.9:8001"]}
tls: {ca: ca.crt, cert: a.crt, key: a.key}
`

// Guards against starting the binary for managed platforms with settings for the product's
// own platform interface, which it does not contain. Such a process could serve no
// requests, so the command must fail and name the file and the binary to use instead.
func TestOwnPlatformIsRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(entrySettings), 0o600))
	var out, errs bytes.Buffer
	assert.Equal(t, Radishwell([]string{"entry", file}, &out, &errs, Signals{}), exitFailed)
	assert.Assert(t, strings.Contains(errs.String(), "managed platforms only"), errs.String())
}

// The binary for managed platforms must have the commands that operators use there, and no
// demo.
func TestCommands(t *testing.T) {
	var out, errs bytes.Buffer
	assert.Equal(t, Radishwell([]string{"--help"}, &out, &errs, Signals{}), exitOK)
	for _, name := range []string{"entry", "agent", "check", "explain", "version"} {
		assert.Assert(t, strings.Contains(out.String(), "\n  "+name+" "), name)
	}
	assert.Assert(t, !strings.Contains(out.String(), "demo"))
}

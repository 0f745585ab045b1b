package cmds_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"radishwell/io/cmds"
	"radishwell/io/hosted"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"radishwell": func() { os.Exit(cmds.Radishwell(os.Args[1:], os.Stdout, os.Stderr, hosted.CatchSignals())) },
		"standin":    func() { os.Exit(cmds.Standin(os.Args[1:], os.Stdout, os.Stderr, hosted.CatchSignals())) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

// TestDemo runs the main command of the README end to end. The demo reports that
// it is ready, answers a streamed chat request for a model that isn't loaded yet,
// and exits at an interrupt without leaving files behind.
func TestDemo(t *testing.T) {
	self, err := os.Executable()
	assert.NilError(t, err)
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	demo := exec.CommandContext(ctx, self, "demo", "--listen", "127.0.0.1:0")
	demo.Args[0] = "radishwell"
	demo.Path = self
	demo.Dir = t.TempDir()
	out, err := demo.StdoutPipe()
	assert.NilError(t, err)
	demo.Stderr = os.Stderr
	assert.NilError(t, demo.Start())
	lines := bufio.NewScanner(out)
	assert.Assert(t, lines.Scan(), "the demo said nothing")
	_, rest, ok := strings.Cut(lines.Text(), "ready at ")
	assert.Assert(t, ok, lines.Text())
	url, _, _ := strings.Cut(rest, ";")
	assert.Assert(t, lines.Scan())
	assert.Assert(t, strings.HasPrefix(lines.Text(), "curl "), lines.Text())

	body := `{"model":"small-accounts","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"hello from the demo"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer demo-key")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK, string(raw))
	assert.Equal(t, strings.Count(string(raw), `"delta":{"content"`), 6, string(raw))
	assert.Equal(t, resp.Trailer.Get("Radishwell-Outcome"), "done")

	assert.NilError(t, demo.Process.Signal(syscall.SIGINT))
	_, _ = io.Copy(io.Discard, out)
	assert.NilError(t, demo.Wait())
	left, err := os.ReadDir(demo.Dir)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0, "the demo left files behind")
}

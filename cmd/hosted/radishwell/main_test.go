package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/events"
	"radishwell/io/fakes/ports"
)

const (
	// asMain names the variable that has the test binary run main.
	asMain = "RADISHWELL_TEST_MAIN"
	// mainBegins is what such a process prints before.
	mainBegins = "main begins"
)

func TestMain(m *testing.M) {
	if os.Getenv(asMain) != "" {
		fmt.Println(mainBegins)
		main()
	}
	os.Exit(m.Run())
}

// settings are those of both roles, without the addresses that each needs.
const settings = `role: %s
name: host-1
data-centre: charguia
region: tunis
platform: {urls: ["http://%s"]}
listen: {control: "%s", operators: "%s", %s}
managed: {enabled: true, plain-peers: true, cores: 1, share: 0.3, memory: 200MiB, stop-grace: 1s, %s}
`

// process is an entry or agent that runs in a process of its own.
type process struct {
	*exec.Cmd
	log string
}

// start starts a process with a role on the nth address of the test's network.
func start(t *testing.T, role string, n int) *process {
	t.Helper()
	dir := t.TempDir()
	free, err := ports.FreeOn(ports.Host(n), 5)
	assert.NilError(t, err)
	listen, managed := "", fmt.Sprintf(`upstream: "%s"`, free[3])
	if role == "entry" {
		listen, managed = fmt.Sprintf(`callers: "%s"`, free[3]), fmt.Sprintf(`readiness: "%s", agent-port: 9001`, free[4])
	}
	file := filepath.Join(dir, "settings.yaml")
	text := fmt.Sprintf(settings, role, free[0], free[1], free[2], listen, managed)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	p := &process{Cmd: exec.Command(os.Args[0], role, file), log: filepath.Join(dir, "log")}
	out, err := os.Create(p.log)
	assert.NilError(t, err)
	defer out.Close()
	p.Env = append(os.Environ(), asMain+"=1")
	p.Stdout, p.Stderr = out, out
	assert.NilError(t, p.Start())
	t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

// awaitLog waits until the log has a text.
func (p *process) awaitLog(t *testing.T, text string) {
	t.Helper()
	for {
		log, err := os.ReadFile(p.log)
		assert.NilError(t, err)
		if bytes.Contains(log, []byte(text)) {
			return
		}
		state, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Contains(state, []byte(") Z ")), "the process has ended: %s", log)
		time.Sleep(100 * time.Microsecond)
	}
}

// Guards against a process that is ended by a signal in the first milliseconds, before it has
// started what acts on it. What is held begins with main, or somewhat before (see package trap);
// until then the default action of a signal ends the process.
func TestSignalAfterStart(t *testing.T) {
	hosts := 0
	for _, role := range []string{"entry", "agent"} {
		for n := range 21 {
			delay := time.Duration(n) * time.Millisecond
			for _, reload := range []bool{false, true} {
				hosts++
				host := hosts
				t.Run(fmt.Sprintf("%s, reload %v, after %v", role, reload, delay), func(t *testing.T) {
					t.Parallel()
					p := start(t, role, host)
					p.awaitLog(t, mainBegins)
					time.Sleep(delay) // the input of the test
					if reload {
						assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
						p.awaitLog(t, events.SettingsRead.Info().ID)
					}
					p.assertStops(t)
				})
			}
		}
	}
}

// assertStops stops the process, which has to end as planned.
func (p *process) assertStops(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	err := p.Wait()
	log, _ := os.ReadFile(p.log)
	assert.NilError(t, err, string(log))
	assert.Assert(t, bytes.Contains(log, []byte(events.StopFinished.Info().ID)), string(log))
}

// Guards against a package for signals that is initialized after the libraries, some milliseconds
// later, because of what it imports.
func TestSignalsAreCaughtBeforeLibraries(t *testing.T) {
	command := exec.Command(os.Args[0], "version")
	command.Env = append(os.Environ(), asMain+"=1", "GODEBUG=inittrace=1")
	var trace strings.Builder
	command.Stderr = &trace
	assert.NilError(t, command.Run())
	before, _, found := strings.Cut(trace.String(), "init radishwell/io/trap ")
	assert.Assert(t, found, trace.String())
	for _, library := range []string{"net/http", "encoding/gob", "gopkg.in/yaml", "radishwell/wire"} {
		assert.Assert(t, !strings.Contains(before, "init "+library), library)
		assert.Assert(t, strings.Contains(trace.String(), "init "+library), library)
	}
}

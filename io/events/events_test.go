package events_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"k8s.io/klog/v2"

	"radishwell/io/events"
)

const pageHead = `# Events

A process writes its log with klog. Each line of the system contains the number of an
event, as in ` + "`event=\"RW1502\"`" + `. The number never changes, whereas the sentence may change.
Events with a verbosity above zero are written if ` + "`telemetry.verbosity`" + ` is at least as high.
Sampled events are written at most ten times a second, those of requests that were not
served at most a hundred times; the next line of the event then contains the number of
those left out (` + "`left-out`" + `). If the output of the process is not read, lines are dropped
and counted, so that no request waits for the log.

This page is generated from the table in io/events/table.go, and a test compares it with
that table; ` + "`go test ./io/events -run TestPage -update`" + ` regenerates it.

| number | name | severity | verbosity | sampled | what happened | what to do |
| --- | --- | --- | --- | --- | --- | --- |
`

func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, r := range events.Rows() {
		sampled := ""
		if r.Sampled {
			sampled = "yes"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %s | %s | %s |\n",
			r.ID, r.Name, r.Severity, r.Verbosity, sampled, r.Text, r.Advice)
	}
	golden.Assert(t, b.String(), "../../../docs/EVENTS.md")
}

func TestTable(t *testing.T) {
	ids, names := map[string]bool{}, map[string]bool{}
	for i, r := range events.Rows() {
		assert.Equal(t, r.Event, events.Event(i), "the row of an event stands at its number")
		assert.Assert(t, regexp.MustCompile(`^RW1[0-9]{3}$`).MatchString(r.ID), "%s %s", r.ID, r.Name)
		assert.Assert(t, regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`).MatchString(r.Name), r.Name)
		assert.Assert(t, r.Text != "" && r.Advice != "" && r.Severity != "", r.Name)
		assert.Assert(t, !ids[r.ID] && !names[r.Name], "%s %s", r.ID, r.Name)
		ids[r.ID], names[r.Name] = true, true
	}
}

// logged returns the log output of a function.
func logged(t *testing.T, verbosity string, write func()) string {
	t.Helper()
	var out bytes.Buffer
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	set := func(name, value string) { assert.NilError(t, flags.Set(name, value)) }
	set("logtostderr", "false")
	set("v", verbosity)
	klog.SetOutput(&out)
	write()
	klog.Flush()
	klog.SetOutput(os.Stderr)
	set("logtostderr", "true")
	set("v", "0")
	return out.String()
}

func TestLog(t *testing.T) {
	t.Run("info", func(t *testing.T) {
		line := logged(t, "0", func() { events.Log(events.LeaseTaken, "fence", 7) })
		assert.Assert(t, strings.HasPrefix(line, "I"))
		assert.Assert(t, strings.Contains(line, `"This entry now decides for the fleet" event="RW1201" fence=7`), line)
		assert.Assert(t, strings.Contains(line, "events_test.go:"), "the line names who logged it: %s", line)
	})
	t.Run("error", func(t *testing.T) {
		line := logged(t, "0", func() { events.Fail(events.PlatformUnreachable, errors.New("refused")) })
		assert.Assert(t, strings.HasPrefix(line, "E"))
		assert.Assert(t, strings.Contains(line, `err="refused" event="RW1601"`), line)
	})
	t.Run("warning with cause", func(t *testing.T) {
		line := logged(t, "0", func() { events.Fail(events.LoadFailed, errors.New("store"), "model", "ledger") })
		assert.Assert(t, strings.Contains(line, `event="RW1303" model="ledger" err="store"`), line)
	})
	t.Run("verbosity", func(t *testing.T) {
		grant := func() { events.Log(events.GrantAdded) }
		assert.Equal(t, logged(t, "0", grant), "")
		assert.Assert(t, logged(t, "1", grant) != "")
	})
}

func TestLogger(t *testing.T) {
	line := logged(t, "1", func() { events.Logger(events.ConnectionFailed).Printf("tls: %s\n", "bad record") })
	assert.Assert(t, strings.Contains(line, `event="RW1609" detail="tls: bad record"`), line)
}

func TestSetVerbosity(t *testing.T) {
	assert.NilError(t, events.SetVerbosity(3))
	assert.Assert(t, klog.V(3).Enabled() && !klog.V(4).Enabled())
	assert.NilError(t, events.SetVerbosity(0))
}

// TestFloodIsSampled guards against a flood of log lines when many peers connect
// without a certificate. Of ten thousand events at once, only some must be written.
func TestFloodIsSampled(t *testing.T) {
	text := logged(t, "0", func() {
		for range 10_000 {
			events.Log(events.PeerRefused)
		}
	})
	lines := strings.Count(text, "\n")
	assert.Assert(t, lines >= 1 && lines < 1000, "%d lines", lines)
}

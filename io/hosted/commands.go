package hosted

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"radishwell/io/config"
	"radishwell/io/deploy"
	"radishwell/io/events"
)

// Commands are the commands of the binary that managed platforms run. The full one
// has these and more.
type Commands struct {
	Entry   entryCommand     `cmd:"" help:"Take callers' requests on an entry host."`
	Agent   agentCommand     `cmd:"" help:"Run beside an upstream: queue requests and have models loaded."`
	Check   checkCommand     `cmd:"" help:"Validate settings and catalogue files: file, line, key and reason of every problem."`
	Explain explainCommand   `cmd:"" help:"Ask running processes why: a request's way, where a model is, how a host stands."`
	Losses  lossesCommand    `cmd:"" help:"Account for requests that were lost or late, by route and cause, from entries' logs."`
	Version kong.VersionFlag `help:"Print the version and exit." short:"v"`
	Show    versionCommand   `cmd:"" name:"version" help:"Print the version."`
}

// Own runs a process on the product's own platform interface.
type Own func(context.Context, config.Settings) error

// ManagedOnlyError reports settings of the product's own platform interface given
// to a binary that serves managed platforms only.
type ManagedOnlyError struct{ File string }

// Error implements error.
func (e *ManagedOnlyError) Error() string {
	return e.File + ": this binary serves managed platforms only (managed.enabled); the full one serves both"
}

// Radishwell runs the command line of the binary that managed platforms run, and
// returns the exit status.
func Radishwell(args []string, out, errs io.Writer) int {
	return Run(&Commands{}, "radishwell", About, args, out, errs, Own(nil))
}

// About tells what radishwell is.
const About = "A serving system for models that are rarely used."

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(out io.Writer) error {
	_, err := fmt.Fprintln(out, "radishwell", version())
	return err
}

type entryCommand struct {
	Settings string `arg:"" help:"Settings file (YAML)." type:"existingfile"`
}

// Run serves until the process is told to stop.
func (c *entryCommand) Run(ctx context.Context, own Own) error {
	return serve(ctx, c.Settings, config.Entry, own)
}

type agentCommand struct {
	Settings string `arg:"" help:"Settings file (YAML)." type:"existingfile"`
}

// Run serves until the process is told to stop.
func (c *agentCommand) Run(ctx context.Context, own Own) error {
	return serve(ctx, c.Settings, config.Agent, own)
}

// RoleError reports settings of another role than the command's.
type RoleError struct {
	File       string
	Have, Want config.Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return e.File + " holds the settings of role " + string(e.Have) + ", not " + string(e.Want)
}

func serve(ctx context.Context, file string, role config.Role, own Own) error {
	settings, err := config.Load(file)
	if err != nil {
		events.Fail(events.SettingsInvalid, err, "file", file)
		return err
	}
	if settings.Role != role {
		return &RoleError{File: file, Have: settings.Role, Want: role}
	}
	if !settings.Managed.Enabled && own == nil {
		return &ManagedOnlyError{File: file}
	}
	if err := events.SetVerbosity(settings.Telemetry.Verbosity); err != nil {
		return err
	}
	stop, err := (&events.AsyncWriter{Out: os.Stdout, DroppedEvent: events.LinesLeftOut}).Start()
	if err != nil {
		return err
	}
	defer stop()
	if settings.Managed.Enabled {
		return (&deploy.Process{Settings: settings, File: file}).Run(ctx)
	}
	return own(ctx, settings)
}

type checkCommand struct {
	Files []string `arg:"" help:"Settings and catalogue files." type:"existingfile"`
}

// Run prints each problem on a line and fails where there is one.
func (c *checkCommand) Run(out io.Writer) error {
	problems := config.Check(c.Files...)
	for _, p := range problems {
		if _, err := fmt.Fprintln(out, p); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return &FoundError{}
	}
	return nil
}

type explainCommand struct {
	Subject string           `arg:"" enum:"request,model,host" help:"What to explain: request, model or host."`
	Name    string           `arg:"" help:"A request's id, or the name of a model or host."`
	At      []netip.AddrPort `help:"Operators' addresses of the processes to ask (listen.operators); several, with commas."`
	Logs    []string         `type:"path" help:"Log files of processes to read instead; several, with commas."`
}

// nobodyError reports a question that names neither processes nor logs.
type nobodyError struct{}

// Error implements error.
func (*nobodyError) Error() string { return "name processes with --at or log files with --logs" }

// explainTime bounds the question to one process.
const explainTime = 3 * time.Second

// Run asks each process and prints what it knows.
func (c *explainCommand) Run(ctx context.Context, out io.Writer) error {
	if len(c.At) == 0 && len(c.Logs) == 0 {
		return &nobodyError{}
	}
	known, err := c.read(out)
	if err != nil {
		return err
	}
	for _, at := range c.At {
		text, err := c.ask(ctx, at)
		if err != nil {
			text = "no answer: " + err.Error()
		}
		known = known || err == nil && text != ""
		if text == "" {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s:\n  %s\n", at, strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  ")); err != nil {
			return err
		}
	}
	if !known {
		_, _ = fmt.Fprintln(out, "none of these processes knows", c.Subject, c.Name)
		return &FoundError{}
	}
	return nil
}

// read prints what the logs say, and tells whether they say anything.
func (c *explainCommand) read(out io.Writer) (known bool, err error) {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return false, err
	}
	found := explainLogs(lines, c.Subject, c.Name)
	for _, l := range found {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return false, err
		}
	}
	return len(found) > 0, nil
}

func (c *explainCommand) ask(ctx context.Context, at netip.AddrPort) (string, error) {
	ctx, stop := context.WithTimeout(ctx, explainTime)
	defer stop()
	address := "http://" + at.String() + "/explain/" + c.Subject + "/" + url.PathEscape(c.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return "", oops.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", oops.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return "", nil
	}
	text, err := io.ReadAll(resp.Body)
	return string(text), oops.Wrap(err)
}

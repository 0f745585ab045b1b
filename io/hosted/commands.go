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

// Commands are the commands of the binary for managed platforms. The full binary has
// these and more.
type Commands struct {
	Entry   entryCommand     `cmd:"" help:"Take callers' requests on an entry host."`
	Agent   agentCommand     `cmd:"" help:"Run beside an upstream: queue requests and order the loading of models."`
	Check   checkCommand     `cmd:"" help:"Validate settings and catalogue files: file, line, key and reason of every problem."`
	Explain explainCommand   `cmd:"" help:"Explain the course of a request, where a model is loaded, or the state of a host, from running processes or logs."`
	Losses  lossesCommand    `cmd:"" help:"Account for requests that were lost or late, by route and cause, from entries' logs."`
	Version kong.VersionFlag `help:"Print the version and exit." short:"v"`
	Show    versionCommand   `cmd:"" name:"version" help:"Print the version."`
}

// OwnRunner runs a process on the product's own platform interface until the context ends. It is
// nil in the binary for managed platforms.
type OwnRunner func(context.Context, config.Settings) error

// ManagedOnlyError reports settings for the product's own platform interface that were
// passed to the binary for managed platforms.
type ManagedOnlyError struct{ File string }

// Error implements error.
func (e *ManagedOnlyError) Error() string {
	return e.File + ": this binary serves managed platforms only (managed.enabled); the full one serves both"
}

// Radishwell runs the command line of the binary for managed platforms and returns the
// exit status.
func Radishwell(args []string, out, errs io.Writer, signals Signals) int {
	return Run(&Commands{}, "radishwell", About, args, out, errs, signals, OwnRunner(nil))
}

// About is the description of radishwell in its help text.
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

// Run runs an entry until the process receives a signal to stop.
func (c *entryCommand) Run(signals Signals, own OwnRunner) error {
	return serve(signals, c.Settings, config.Entry, own)
}

type agentCommand struct {
	Settings string `arg:"" help:"Settings file (YAML)." type:"existingfile"`
}

// Run runs an agent until the process receives a signal to stop.
func (c *agentCommand) Run(signals Signals, own OwnRunner) error {
	return serve(signals, c.Settings, config.Agent, own)
}

// RoleError reports settings whose role is not that of the command.
type RoleError struct {
	File       string
	Have, Want config.Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return e.File + " holds the settings of role " + string(e.Have) + ", not " + string(e.Want)
}

// serve runs a process with the settings in a file, which must have the given role.
func serve(signals Signals, file string, role config.Role, own OwnRunner) error {
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
		ctx, cancel := signals.context()
		defer cancel()
		return (&deploy.Process{Settings: settings, File: file, Reload: signals.Reload}).Run(ctx)
	}
	ctx, cancel := signals.contextOfAll()
	defer cancel()
	return own(ctx, settings)
}

type checkCommand struct {
	Files []string `arg:"" help:"Settings and catalogue files." type:"existingfile"`
}

// Run prints each problem on a line of its own. It fails if there are any.
func (c *checkCommand) Run(out io.Writer) error {
	problems := config.Check(c.Files...)
	for _, p := range problems {
		if _, err := fmt.Fprintln(out, p); err != nil {
			return err
		}
	}
	if len(problems) > 0 {
		return &ReportedError{}
	}
	return nil
}

type explainCommand struct {
	Subject string           `arg:"" enum:"request,model,host" help:"What to explain: request, model or host."`
	Name    string           `arg:"" help:"A request's id, or the name of a model or host."`
	At      []netip.AddrPort `help:"Operators' addresses of the processes to ask (listen.operators); several, with commas."`
	Logs    []string         `type:"path" help:"Log files of processes to read instead; several, with commas."`
}

// noSourceError reports a call of explain without processes and without logs.
type noSourceError struct{}

// Error implements error.
func (*noSourceError) Error() string { return "name processes with --at or log files with --logs" }

// explainTimeout is the timeout of the query to one process.
const explainTimeout = 3 * time.Second

// Run prints the matching log lines and the answer of each process. It fails if there are
// none.
func (c *explainCommand) Run(ctx context.Context, out io.Writer) error {
	if len(c.At) == 0 && len(c.Logs) == 0 {
		return &noSourceError{}
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
		return &ReportedError{}
	}
	return nil
}

// read prints the log lines that match and reports whether there are any.
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

// ask queries one process. It returns an empty text if the process does not know the
// subject.
func (c *explainCommand) ask(ctx context.Context, at netip.AddrPort) (string, error) {
	ctx, stop := context.WithTimeout(ctx, explainTimeout)
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

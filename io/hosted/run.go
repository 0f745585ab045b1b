package hosted

import (
	"context"
	"errors"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// exitStatus is how kong's own exit (after --help or --version) leaves Parse.
type exitStatus int

// Run parses a command line and runs the command it names, with a context that
// ends when the process is told to stop. More is bound to the commands' Run. It
// returns the exit status.
func Run(cli any, name, about string, args []string, out, errs io.Writer, more ...any) (status int) {
	defer func() {
		switch s := recover().(type) {
		case nil:
		case exitStatus:
			status = int(s)
		default:
			// A fault must not end the command as if it had done its work.
			panic(s)
		}
	}()
	parser, err := kong.New(cli, kong.Name(name), kong.Description(about), kong.Writers(out, errs),
		kong.UsageOnError(), kong.Vars{"version": version()},
		kong.Exit(func(code int) { panic(exitStatus(code)) }),
		kong.BindTo(out, (*io.Writer)(nil)), kong.Bind(more...),
	)
	if err != nil {
		panic(err) // the command line's own definition is wrong
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = io.WriteString(errs, name+": "+err.Error()+"\n")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		var quiet *FoundError
		if !errors.As(err, &quiet) {
			_, _ = io.WriteString(errs, name+": "+err.Error()+"\n")
		}
		return exitFailed
	}
	return exitOK
}

// FoundError ends a command with status 1 after it has printed what it found.
type FoundError struct{}

// Error implements error.
func (*FoundError) Error() string { return "problems were found" }

// version returns the module's version as the toolchain recorded it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value[:min(12, len(s.Value))]
		}
	}
	return v + " " + info.GoVersion
}

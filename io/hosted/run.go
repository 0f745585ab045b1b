package hosted

import (
	"context"
	"errors"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// exitStatus is the value of the panic by which kong's exit function, called after --help
// or --version, leaves Parse.
type exitStatus int

// Run parses a command line, runs its command, and returns the exit status. The Run method of a
// command may take signals, or a context that ends on any of them. The values of more are passed
// to Run methods by type.
func Run(cli any, name, about string, args []string, out, errs io.Writer, signals Signals, more ...any) (status int) {
	defer func() {
		switch s := recover().(type) {
		case nil:
		case exitStatus:
			status = int(s)
		default:
			// Any other panic is a fault; recovering from it would end the command with status
			// 0.
			panic(s)
		}
	}()
	parser, err := kong.New(cli, kong.Name(name), kong.Description(about), kong.Writers(out, errs),
		kong.UsageOnError(), kong.Vars{"version": version()},
		kong.Exit(func(code int) { panic(exitStatus(code)) }),
		kong.BindTo(out, (*io.Writer)(nil)), kong.Bind(signals), kong.Bind(more...),
	)
	if err != nil {
		panic(err) // the definition of the command line is invalid
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = io.WriteString(errs, name+": "+err.Error()+"\n")
		return exitUsage
	}
	var stop context.CancelFunc = func() {}
	defer func() { stop() }()
	err = parsed.BindSingletonProvider(func() (ctx context.Context, err error) {
		ctx, stop = signals.contextOfAll()
		return ctx, nil
	})
	if err != nil {
		panic(err) // the provider has a wrong type
	}
	if err := parsed.Run(); err != nil {
		var quiet *ReportedError
		if !errors.As(err, &quiet) {
			_, _ = io.WriteString(errs, name+": "+err.Error()+"\n")
		}
		return exitFailed
	}
	return exitOK
}

// ReportedError ends a command with exit status 1 if the command has already printed the
// problems. Run prints no message for it.
type ReportedError struct{}

// Error implements error.
func (*ReportedError) Error() string { return "problems were found" }

// version returns the module's version, the revision and the version of Go, as recorded in
// the binary.
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

package cmds

import (
	"context"
	"io"

	"radishwell/io/certs"
	"radishwell/io/config"
	"radishwell/io/hosted"
	"radishwell/io/node"
)

// radishwellCLI is the full command line of radishwell. It extends the commands
// for hosts by those that developers and operators use elsewhere.
type radishwellCLI struct {
	hosted.Commands

	Keys   keysCommand   `cmd:"" help:"Create an authority and certificates for the processes of radishwell, for trials."`
	Demo   demoCommand   `cmd:"" help:"Run an entry, agents and stand-ins in one process."`
	Bench  benchCommand  `cmd:"" help:"Send load to a running system and report what callers received."`
	Replay replayCommand `cmd:"" help:"Replay generated weeks against policies of keeping models loaded; print waits and idle hours."`
}

// Radishwell runs the command line of radishwell and returns the exit status.
func Radishwell(args []string, out, errs io.Writer, signals hosted.Signals) int {
	own := hosted.OwnRunner(func(ctx context.Context, s config.Settings) error { return (&node.Node{Settings: s}).Run(ctx) })
	return hosted.Run(&radishwellCLI{}, "radishwell", hosted.About, args, out, errs, signals, own)
}

type keysCommand struct {
	Dir   string   `required:"" help:"Directory for the files; an existing authority is reused."`
	Hosts []string `name:"host" required:"" help:"NAME=ROLE@IP[,IP...], role entry, agent or operator; repeated for each host." placeholder:"NAME=ROLE@IP"`
}

// Run writes the files.
func (c *keysCommand) Run() error {
	var hosts []certs.Host
	for _, text := range c.Hosts {
		h, err := certs.ParseHost(text)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	return certs.Maker{Dir: c.Dir, Clock: node.Clock{}}.Make(hosts...)
}

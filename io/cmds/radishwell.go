package cmds

import (
	"context"
	"io"

	"radishwell/io/certs"
	"radishwell/io/config"
	"radishwell/io/hosted"
	"radishwell/io/node"
)

// radishwellCLI is the full command line of radishwell: what hosts run, and what
// developers and operators use elsewhere.
type radishwellCLI struct {
	hosted.Commands

	Keys   keysCommand   `cmd:"" help:"Make an authority and certificates for own processes, for trials."`
	Demo   demoCommand   `cmd:"" help:"Run the whole path in one process on embedded stand-ins."`
	Bench  benchCommand  `cmd:"" help:"Drive load at a running system and report what callers got."`
	Replay replayCommand `cmd:"" help:"Replay generated weeks against policies of keeping models loaded: waits and idle hours."`
}

// Radishwell runs radishwell's command line and returns the exit status.
func Radishwell(args []string, out, errs io.Writer) int {
	own := hosted.OwnRunner(func(ctx context.Context, s config.Settings) error { return (&node.Node{Settings: s}).Run(ctx) })
	return hosted.Run(&radishwellCLI{}, "radishwell", hosted.About, args, out, errs, own)
}

type keysCommand struct {
	Dir   string   `required:"" help:"Directory for the files; an authority that is there is used again."`
	Hosts []string `name:"host" required:"" help:"NAME=ROLE@IP[,IP...], role entry, agent or operator; once for each host." placeholder:"NAME=ROLE@IP"`
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

package cmds

import (
	"context"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/io/fakes/apisrv"
	"radishwell/io/fakes/llmsrv"
	"radishwell/io/fakes/plain"
	"radishwell/io/hosted"
)

// standinCLI is the command line of the stand-ins.
type standinCLI struct {
	Platform standinPlatform `cmd:"" help:"The platform's object API, with faults at /faults and counts of calls at /calls."`
	Engine   standinEngine   `cmd:"" help:"A model engine, with faults at /faults."`
	Fleet    standinFleet    `cmd:"" help:"Write the files of a fleet on the loopback, for measuring."`
	Engines  standinEngines  `cmd:"" help:"The engines of a fleet, in one process."`
	Service  standinService  `cmd:"" help:"A plain service that echoes calls, with counts of runs at /runs and faults at /faults."`
	Capacity capacityCommand `cmd:"" help:"Regenerate the tables of docs/CAPACITY.md from the raw figures."`
}

// Standin runs the command line of the stand-ins and returns the exit status.
func Standin(args []string, out, errs io.Writer, signals hosted.Signals) int {
	var c standinCLI
	return hosted.Run(&c, "standin", "Stand-ins of the systems that radishwell works with, for trials and tests.", args, out, errs, signals)
}

type standinPlatform struct {
	Listen  netip.AddrPort `required:"" help:"Address of the object API."`
	Control netip.AddrPort `help:"Address for /faults and /calls that stays reachable while the API is down."`
	Seed    []string       `help:"YAML files with the initial objects: documents with kind, name and spec." type:"existingfile"`
	Token   string         `help:"Bearer token that callers have to send."`
	History int            `default:"10000" help:"Number of events kept for watches that resume."`
}

// Run serves until ctx ends.
func (c *standinPlatform) Run(ctx context.Context) error {
	srv := &apisrv.Server{Listen: c.Listen, Control: c.Control, Token: c.Token, History: c.History}
	for _, name := range c.Seed {
		objects, err := readSeed(name)
		if err != nil {
			return err
		}
		srv.Seed = append(srv.Seed, objects...)
	}
	return srv.Run(ctx)
}

func readSeed(name string) ([]core.Object, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, oops.Wrapf(err, "open seed")
	}
	defer f.Close()
	return apisrv.ReadSeed(f)
}

type standinEngine struct {
	Listen       netip.AddrPort `required:"" help:"Address of the engine."`
	Accelerators int            `default:"2" help:"Number of accelerators."`
	Memory       core.Bytes     `default:"16GiB" help:"Memory of each accelerator."`
	LoadMemory   time.Duration  `default:"100ms" help:"Time of a load from the host's memory."`
	LoadDisk     time.Duration  `default:"400ms" help:"Time of a load from the host's disk."`
	LoadStore    time.Duration  `default:"1500ms" help:"Time of a load from the weight store."`
	LoadAdapter  time.Duration  `default:"5ms" help:"Time of the load of an adapter."`
	FirstToken   time.Duration  `default:"5ms" help:"Time before the first token."`
	TokenTime    time.Duration  `default:"2ms" help:"Time between tokens."`
	Batch        int            `default:"32" help:"Requests that are processed at the same time."`
	IgnoreFence  bool           `help:"Carry out orders with an outdated fencing number."`
}

// Run serves until ctx ends.
func (c *standinEngine) Run(ctx context.Context) error {
	srv := &llmsrv.Server{
		Listen: c.Listen, LoadTimes: [3]time.Duration{c.LoadMemory, c.LoadDisk, c.LoadStore},
		AdapterTime: c.LoadAdapter, FirstTime: c.FirstToken, TokenTime: c.TokenTime, Batch: c.Batch, Faults: llmsrv.Faults{IgnoreFence: c.IgnoreFence},
	}
	for range c.Accelerators {
		srv.Capacity = append(srv.Capacity, c.Memory)
	}
	return srv.Run(ctx)
}

type standinService struct {
	Listen netip.AddrPort `required:"" help:"Address of the service."`
}

// Run serves until ctx ends.
func (c *standinService) Run(ctx context.Context) error {
	return (&plain.Server{Listen: c.Listen}).Run(ctx)
}

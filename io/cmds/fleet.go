package cmds

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/oops"

	"radishwell/core"
	"radishwell/io/fakes/llmsrv"
)

// standinFleet writes the files of a fleet of processes on the loopback interface.
// Such fleets measure what a process costs at different sizes.
type standinFleet struct {
	Dir      string `required:"" help:"Directory for settings, catalogue and hosts."`
	Entries  int    `default:"2" help:"Number of entries."`
	Agents   int    `default:"4" help:"Number of agents, each beside an engine."`
	Models   int    `default:"70" help:"Number of models."`
	Adapters int    `default:"0" help:"Number of adapters."`
	Port     uint16 `default:"20000" help:"First port used; each process takes five."`
}

// Offsets of the ports of a process from its first port.
const (
	portControl = iota
	portOperators
	portCallers
	portWork
	portEngine
	portsEach
)

// Run writes the files.
func (c *standinFleet) Run() error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return oops.Wrapf(err, "make directory")
	}
	var hosts strings.Builder
	for i := range c.Entries + c.Agents {
		name, text, host := c.process(i)
		if err := c.write(name+".yaml", text); err != nil {
			return err
		}
		hosts.WriteString(host)
	}
	if err := c.write("hosts.yaml", hosts.String()); err != nil {
		return err
	}
	return c.write("catalogue.yaml", c.catalogue())
}

func (c *standinFleet) write(name, text string) error {
	return oops.Wrapf(os.WriteFile(filepath.Join(c.Dir, name), []byte(text), 0o644), "write %s", name)
}

func (c *standinFleet) at(process, port int) string {
	return fmt.Sprintf("127.0.0.1:%d", int(c.Port)+portsEach*(process+1)+port)
}

func (c *standinFleet) process(i int) (name, settings, host string) {
	centre := fmt.Sprintf("dc-%d", i%4)
	peers := c.at(0, portControl)
	common := fmt.Sprintf("data-centre: %s\npeers: [%q]\nplatform: {urls: [\"http://127.0.0.1:%d\"]}\n", centre, peers, c.Port)
	if i < c.Entries {
		name = fmt.Sprintf("entry-%03d", i)
		settings = fmt.Sprintf("role: entry\nname: %s\n%slisten: {control: %q, operators: %q, callers: %q}\n", name, common,
			c.at(i, portControl), c.at(i, portOperators), c.at(i, portCallers))
		host = fmt.Sprintf("---\nkind: hosts\nname: %s\nspec: {role: entry, state: live, data-centre: %s, control: %q}\n", name, centre, c.at(i, portControl))
		return name, settings, host
	}
	name = fmt.Sprintf("agent-%03d", i-c.Entries)
	settings = fmt.Sprintf("role: agent\nname: %s\n%slisten: {control: %q, operators: %q, work: %q}\nengine: {address: \"http://%s\", type: engine, service: pool}\n",
		name, common, c.at(i, portControl), c.at(i, portOperators), c.at(i, portWork), c.at(i, portEngine))
	host = fmt.Sprintf("---\nkind: hosts\nname: %s\nspec: {role: upstream, state: live, service: pool, data-centre: %s, control: %q, work: %q, accelerators: 8, memory: 80GiB}\n",
		name, centre, c.at(i, portControl), c.at(i, portWork))
	return name, settings, host
}

// ownerCount is the number of owners among whom the models and adapters are divided.
const ownerCount = 20

func (c *standinFleet) catalogue() string {
	var b strings.Builder
	for i := range ownerCount {
		fmt.Fprintf(&b, "---\nkind: owners\nname: owner-%02d\nspec: {keys: [{caller: caller, digest: %q}]}\n", i, fmt.Sprintf("%064x", i+1))
	}
	b.WriteString("---\nkind: services\nname: pool\nspec: {type: engine, class: interactive, checks-fence: true}\n")
	for i := range c.Models {
		fmt.Fprintf(&b, "---\nkind: models\nname: model-%03d\nspec: {owner: owner-%02d, service: pool, class: interactive, memory: 40GiB, limits: {replicas: 4, concurrency: 32}}\n", i, i%ownerCount)
	}
	for i := range c.Adapters {
		fmt.Fprintf(&b, "---\nkind: adapters\nname: adapter-%04d\nspec: {owner: owner-%02d, base: model-%03d, class: evening, memory: 128MiB, limits: {replicas: 2}}\n", i, i%ownerCount, i%max(1, c.Models))
	}
	return b.String()
}

// standinEngines runs the engines of a fleet that standinFleet wrote, all in one
// process.
type standinEngines struct {
	Entries int    `default:"2" help:"Number of entries of the fleet."`
	Agents  int    `default:"4" help:"Number of agents of the fleet."`
	Port    uint16 `default:"20000" help:"First port of the fleet."`
}

// Run serves until ctx ends.
func (c *standinEngines) Run(ctx context.Context, _ io.Writer) error {
	f := &standinFleet{Entries: c.Entries, Agents: c.Agents, Port: c.Port}
	ended := make(chan error, c.Agents)
	for i := range c.Agents {
		at, err := netip.ParseAddrPort(f.at(c.Entries+i, portEngine))
		if err != nil {
			return oops.Wrap(err)
		}
		srv := &llmsrv.Server{
			Listen: at, LoadTimes: [3]time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond},
			AdapterTime: 5 * time.Millisecond, FirstTime: 5 * time.Millisecond, TokenTime: 2 * time.Millisecond, Batch: 32,
		}
		for range 8 {
			srv.Capacity = append(srv.Capacity, 80*core.GiB)
		}
		go func() { ended <- srv.Run(ctx) }()
	}
	var first error
	for range c.Agents {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

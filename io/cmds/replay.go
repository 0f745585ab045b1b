package cmds

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"radishwell/core/replay"
	"radishwell/core/warm"
)

// replayCommand replays generated weeks of arrivals against the keep-warm policies.
type replayCommand struct {
	Seed  uint64  `default:"1" help:"Seed of the generated arrivals."`
	Scale float64 `default:"0" help:"Cost of a second of waiting, as a multiple of the default; 0 means 4 for evenings and 1 for working days."`
}

// Default scales of the two deployments. For the treasurers of the first, waits
// weigh more; for the co-operative of the second, the use of its accelerators.
const (
	eveningScale = 4
	workingScale = 1
)

// Run prints a table for each deployment.
func (c *replayCommand) Run(out io.Writer) error {
	traces := []struct {
		trace replay.Trace
		scale float64
	}{{replay.Evenings(c.Seed), eveningScale}, {replay.WorkingDays(c.Seed), workingScale}}
	for _, t := range traces {
		scale := t.scale
		if c.Scale > 0 {
			scale = c.Scale
		}
		if err := printTable(out, t.trace, scale); err != nil {
			return err
		}
	}
	return nil
}

func printTable(out io.Writer, t replay.Trace, scale float64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s: %d items, a second of waiting worth %g times the default\n", t.Name, len(t.Items), scale)
	fmt.Fprintln(w, "policy\trequests\tcold\tp50\tp99\tmax\topeners mean\topeners p99\tidle hours\tload hours\tcost\t")
	for _, r := range replay.Compare(t, scale) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t\n", r.Policy, r.Requests, r.Cold,
			formatWait(r.P50), formatWait(r.P99), formatWait(r.Max), formatWait(r.OpenerMean), formatWait(r.OpenerP99), r.IdleHours, r.LoadHours,
			r.Cost(warm.DefaultWorth.Scale(scale)))
	}
	fmt.Fprintln(w)
	return w.Flush()
}

func formatWait(d time.Duration) string { return d.Round(10 * time.Millisecond).String() }

package cmds

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"radishwell/io/hosted"
	"radishwell/io/soak"
)

// soakCLI is the command line of the soak test.
type soakCLI struct {
	Program string        `default:"target/radishwell" help:"The program that runs entries and agents." type:"existingfile"`
	Seed    uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"1" help:"Number of seeds to run, one after the other."`
	Length  time.Duration `default:"12s" help:"Time from the start of a run until its faults end."`
	Lose    bool          `name:"lose-entries" help:"Kill all entries at once, again and again, besides the other faults."`
	Agents  bool          `name:"lose-agents" help:"Kill all agents with them, and have streams last longer."`
	Still   bool          `name:"standstills" help:"Have upstreams stand still under load instead, and check the retry budget."`
	After   time.Duration `name:"crash-after" help:"Time from the first event until a request crashes its upstream."`
	Foreign bool          `name:"foreign-entries" help:"Have another writer register hosts at the addresses of upstreams, besides the other faults."`
	Keep    string        `default:"target/soak-runs" help:"Directory for the logs and schedules of runs that failed." type:"path"`
}

// Soak runs the command line of the soak test and returns the exit status.
func Soak(args []string, out, errs io.Writer, signals hosted.Signals) int {
	return hosted.Run(&soakCLI{}, "soak", "Runs of the real programs under faults from outside.", args, out, errs, signals)
}

// Run runs all seeds. It fails if any of them found a violation.
func (c *soakCLI) Run(out io.Writer) error {
	failed := false
	for i := range c.Seeds {
		run := c.runSeed
		if c.Still {
			run = c.runStandstill
		}
		found, err := run(out, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		failed = failed || found
	}
	if failed {
		return &hosted.ReportedError{}
	}
	return nil
}

// place returns the program and the directory of the run of a seed, which it makes.
func (c *soakCLI) place(seed uint64) (program, dir string, err error) {
	program, err = filepath.Abs(c.Program)
	if err != nil {
		return "", "", &soak.StartError{What: c.Program, Cause: err}
	}
	dir = filepath.Join(c.Keep, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", "", &soak.StartError{What: dir, Cause: err}
	}
	return program, dir, nil
}

// runStandstill is runSeed for a run in which upstreams stand still.
func (c *soakCLI) runStandstill(out io.Writer, seed uint64) (found bool, err error) {
	program, dir, err := c.place(seed)
	if err != nil {
		return false, err
	}
	run := soak.DrawStandstill(seed)
	run.Program, run.Dir = []string{program}, dir
	report, err := run.Execute()
	if err != nil {
		return false, err
	}
	_, _ = fmt.Fprintf(out, "seed %d: %v; logs with panics %v\n", seed, report, report.Panics)
	if report.Worst.Over() <= 0 && len(report.Panics) == 0 {
		return false, os.RemoveAll(dir)
	}
	return true, nil
}

// runSeed runs one seed and reports whether it found a violation. It keeps the files
// of the run only in that case.
func (c *soakCLI) runSeed(out io.Writer, seed uint64) (found bool, err error) {
	program, dir, err := c.place(seed)
	if err != nil {
		return false, err
	}
	report, err := (&soak.Run{Seed: seed, Length: c.Length, LoseEntries: c.Lose, LoseAgents: c.Agents, CrashAfter: c.After, ForeignEntries: c.Foreign, Program: []string{program}, Dir: dir}).Execute()
	if err != nil {
		return false, err
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d faults, %d requests, %d served, %d promises broken, entries not back %v, logs with panics %v\n",
		seed, len(report.Steps), report.Requests, report.Served, len(report.Breaches), report.Unserved, report.Panics)
	n := report.Resumptions
	_, _ = fmt.Fprintf(out, "   of %d streams taken up again %d went on, of %d new ones %d began; %d hold events of several versions\n",
		n.TakenUp, n.WentOn, n.New, n.Begun, report.Mixed)
	if c.Lose {
		_, _ = fmt.Fprintln(out, "   after losses of all entries:", report.AfterLoss)
	}
	s, p := report.Sound, report.Preferred
	_, _ = fmt.Fprintf(out, "   of %d requests that share parts with crashing ones %d began; of %d that entries read %d were served, of %d while one entry got most connections %d\n",
		s.Sent, s.Begun, p.Before, p.ServedBefore, p.After, p.ServedAfter)
	for _, b := range report.Breaches {
		_, _ = fmt.Fprintln(out, "  ", b)
	}
	if !report.Failed() {
		return false, os.RemoveAll(dir)
	}
	return true, nil
}

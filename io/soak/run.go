package soak

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"radishwell/platform/stand"
)

const (
	// recovery is the time after the last fault within which every entry has to serve
	// requests again.
	recovery = 12 * time.Second
	// callerCount is the number of callers. Each sends one request after the other.
	callerCount = 8
)

// Run is one run of the soak test. The exported fields have to be set before Execute.
type Run struct {
	Seed uint64
	// Length is the time from the start until all faults have ended.
	Length time.Duration
	// LoseEntries is set if all entries are killed at once, again and again, besides the schedule.
	LoseEntries bool
	// LoseAgents is set if all agents are killed with them, as when all machines lose power.
	LoseAgents bool
	// CrashAfter is the time from the first event until a request crashes its upstream.
	CrashAfter time.Duration
	// ForeignEntries is set if another writer registers hosts at the addresses of upstreams, besides the schedule.
	ForeignEntries bool
	// Program is the command of entries and agents. The role and the settings file are
	// appended as arguments.
	Program []string
	// Dir is the directory for settings, logs and the schedule.
	Dir string
}

// Report holds the results of a run.
type Report struct {
	Seed     uint64
	Steps    []Step
	Requests int
	// Served counts the requests with a complete and successful answer.
	Served   int
	Breaches []Breach
	// Resumptions are the streams that callers took up again, and Mixed counts those that hold
	// events of several versions.
	Resumptions Resumptions
	Mixed       int
	// AfterLoss are those that a loss of all entries broke off.
	AfterLoss Resumptions
	// Sound are the requests that share parts with crashing ones, and Preferred those before and
	// while an entry got most connections.
	Sound     Sound
	Preferred Preferred
	// Unserved lists the indexes of the entries that didn't serve all routes of the
	// newest table within the recovery time.
	Unserved []int
	// Panics lists the log files that contain a panic or a data race.
	Panics []string
}

// Failed reports whether the run found a fault of the system.
func (r *Report) Failed() bool { return len(r.Breaches)+len(r.Unserved)+len(r.Panics) > 0 }

// allDirect exceeds the number of agents, so that each entry follows all agents itself.
// In runs with odd seeds the limit is 0 instead: one entry follows the agents and
// informs the other, as in a large fleet.
const allDirect = 64

// Execute runs the schedule of the seed and returns the results. Its error is a
// StartError: the run could not be started or its logs could not be read. Violations that
// the run found are not errors; they are in the Report.
func (r *Run) Execute() (*Report, error) {
	steps := Draw(r.Seed, r.Length)
	if r.LoseEntries {
		steps = addLosses(steps, r.Seed, r.Length)
	}
	if r.ForeignEntries {
		steps = addForeign(steps, r.Seed, r.Length)
	}
	if err := os.WriteFile(filepath.Join(r.Dir, "schedule.txt"), []byte(lines(steps)), 0o644); err != nil {
		return nil, &StartError{What: "the run", Cause: err}
	}
	t := &testbed{dir: r.Dir, program: r.Program, size: size{entries, engines, services}, budget: soakBudget, memory: entryMemory, maxDirect: allDirect, gap: eventGap, crashAfter: r.CrashAfter}
	var saved time.Duration
	if r.LoseAgents {
		t.loseAgents, t.gap, saved = true, longGap, saveTime
	}
	if r.Seed%2 == 1 {
		t.maxDirect = 0
	}
	defer t.close()
	if err := t.build(); err != nil {
		return nil, err
	}
	c := &callers{entryAddrs: t.entryAddrs, start: time.Now(), preferred: preference{entry: -1}}
	ctx, stop := context.WithCancel(context.Background())
	c.run(ctx, callerCount, r.Seed)
	c.probeTables(ctx, t.newestPath)
	t.startCrashing = func(s Step) { c.repeatPoison(ctx, s) }
	t.startProper = func(s Step) { c.repeatProper(ctx, s) }
	t.startCrashingPart = func(s Step) { c.sendPoisonParts(ctx, s) }
	t.preferEntry, t.readSlowly = c.preferEntry, c.readSlowly
	t.runSteps(c.start, steps)
	report := &Report{Seed: r.Seed, Steps: steps, Unserved: unserved(c, r.Seed, t.newestPath())}
	if hasKind(steps, CrashingRequest) {
		time.Sleep(contactTime + crashingWindow) // a time without faults
	}
	if hasKind(steps, CrashingPart) {
		time.Sleep(2*contactTime + crashingWindow)
	}
	if i := slices.IndexFunc(steps, func(s Step) bool { return s.Kind == PreferEntry }); i >= 0 {
		steps = append(steps, c.preferQuietly(steps[i]))
	}
	stop()
	c.wait.Wait()
	ran := func(id string) int {
		n := 0
		for _, u := range t.upstreams {
			n += u.Ran(id)
		}
		return n
	}
	report.Requests = len(c.results)
	for _, result := range c.results {
		if result.Status == 200 && result.Complete {
			report.Served++
		}
	}
	report.Breaches = append(check(c.results, ran), cutByStop(c.results, steps, ran)...)
	report.Breaches = append(report.Breaches, overAllowance(c.results, ran)...)
	report.Breaches = append(report.Breaches, denied(c.results)...)
	report.Breaches = append(report.Breaches, t.overRetryBudgets(c.start, c.results)...)
	checker := &signalChecker{start: c.start, steps: steps, results: map[string]*Result{}, saved: saved}
	for i := range c.results {
		checker.results[c.results[i].ID] = &c.results[i]
	}
	var seen []stand.ReceivedRequest
	for _, u := range t.upstreams {
		seen = append(seen, u.Requests()...)
		report.Breaches = append(report.Breaches, misattributed(c.results, u.Requests())...)
		report.Breaches = append(report.Breaches, checker.check(u.ID, u.Requests())...)
	}
	report.Mixed = len(mixed(c.results))
	report.Resumptions = checker.resumptions(c.results, t.upstreams)
	report.Breaches = append(report.Breaches, mixedVersions(c.results)...)
	report.AfterLoss = checker.resumedAfterLoss(c.results, t.upstreams)
	report.Breaches = append(report.Breaches, report.Resumptions.lost()...)
	report.Breaches = append(report.Breaches, report.AfterLoss.lost()...)
	report.Breaches = append(report.Breaches, endedByEntry(c.results, seen)...)
	report.Breaches = append(report.Breaches, unframedByEntry(c.results, seen)...)
	report.Breaches = append(report.Breaches, checker.crashing(arrivalsBy(t.upstreams, poisonedBody), maxCrashes,
		"a request that has crashed upstreams is sent no more")...)
	parts := arrivalsBy(t.upstreams, poisonedPart)
	report.Sound, report.Preferred = checker.sound(c.results, parts), checker.preferredShares(c.results)
	report.Breaches = append(report.Breaches, checker.crashing(parts, maxPartCrashes,
		"requests with a part that has crashed upstreams are sent no more")...)
	report.Breaches = append(report.Breaches, report.Sound.lost()...)
	report.Breaches = append(report.Breaches, report.Preferred.lost()...)
	var err error
	report.Breaches = append(report.Breaches, checker.lateTables(c.results)...)
	report.Panics, err = panics(r.Dir)
	return report, err
}

func lines(steps []Step) string {
	var b strings.Builder
	for _, s := range steps {
		b.WriteString(s.String() + "\n")
	}
	return b.String()
}

// runSteps starts and ends the steps at their times. It returns when all have ended.
func (t *testbed) runSteps(start time.Time, steps []Step) {
	var lasting sync.WaitGroup
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.Begin)))
		end := t.inject(s)
		if end == nil {
			continue
		}
		lasting.Add(1)
		go func() {
			defer lasting.Done()
			time.Sleep(time.Until(start.Add(s.End)))
			end()
		}()
	}
	lasting.Wait()
}

// unserved returns the indexes of the entries that don't serve all routes of the newest
// table within the recovery time.
func unserved(c *callers, seed uint64, newest string) []int {
	var out []int
	until := time.Now().Add(recovery)
	probes := &callers{entryAddrs: c.entryAddrs, start: c.start}
	for entry := range c.entryAddrs {
		if !probes.served(entry, seed, newest, until) {
			out = append(out, entry)
		}
	}
	return out
}

// panics returns the log files that contain a panic or a data race.
func panics(dir string) ([]string, error) {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, &StartError{What: "the reading of logs", Cause: err}
	}
	var out []string
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, &StartError{What: "the reading of logs", Cause: err}
		}
		if strings.Contains(string(text), "\ngoroutine ") || strings.Contains(string(text), "DATA RACE") {
			out = append(out, name)
		}
	}
	return out, nil
}

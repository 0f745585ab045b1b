package soak

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// recovery is how long after the last fault every entry has to serve again.
	recovery = 12 * time.Second
	// callerCount is how many callers send requests one after the other.
	callerCount = 8
)

// Run is one run of the soak. Set the exported fields before use.
type Run struct {
	Seed uint64
	// Length is how long after the start the faults end.
	Length time.Duration
	// Program is the program of entries and agents with its first arguments; role
	// and settings file are added.
	Program []string
	// Dir is where settings, logs and the schedule go.
	Dir string
}

// Report is what a run found.
type Report struct {
	Seed     uint64
	Steps    []Step
	Requests int
	// Served counts the requests that were answered whole with success.
	Served   int
	Breaches []Breach
	// Unserved are entries that did not serve every route of the newest table in time.
	Unserved []int
	// Panics are the logs that tell of a panic.
	Panics []string
}

// Failed tells whether anything was found.
func (r *Report) Failed() bool { return len(r.Breaches)+len(r.Unserved)+len(r.Panics) > 0 }

// smallFleet is more agents than there are, so that each entry follows all. Runs with odd
// seeds have one entry follow them and tell the other, as in a large fleet.
const smallFleet = 64

// Play runs the schedule of the seed and returns what it found.
func (r *Run) Play() (*Report, error) {
	steps := Draw(r.Seed, r.Length)
	if err := os.WriteFile(filepath.Join(r.Dir, "schedule.txt"), []byte(lines(steps)), 0o644); err != nil {
		return nil, &StartError{What: "the run", Cause: err}
	}
	w := &world{dir: r.Dir, program: r.Program, mostDirect: smallFleet}
	if r.Seed%2 == 1 {
		w.mostDirect = 0
	}
	defer w.close()
	if err := w.build(); err != nil {
		return nil, err
	}
	c := &callers{fronts: w.fronts, start: time.Now()}
	ctx, stop := context.WithCancel(context.Background())
	c.run(ctx, callerCount, r.Seed)
	w.play(c.start, steps)
	report := &Report{Seed: r.Seed, Steps: steps, Unserved: unserved(c, r.Seed, w.newestPath())}
	stop()
	c.wait.Wait()
	ran := func(id string) int {
		n := 0
		for _, u := range w.upstreams {
			n += u.Ran(id)
		}
		return n
	}
	report.Requests = len(c.results)
	for _, result := range c.results {
		if result.Status == 200 && result.Whole {
			report.Served++
		}
	}
	report.Breaches = append(check(c.results, ran), cutByStop(c.results, steps, ran)...)
	report.Breaches = append(report.Breaches, overAllowance(c.results, ran)...)
	given := &signals{start: c.start, steps: steps, results: map[string]*Result{}}
	for i := range c.results {
		given.results[c.results[i].ID] = &c.results[i]
	}
	for _, u := range w.upstreams {
		report.Breaches = append(report.Breaches, misnamed(c.results, u.Requests())...)
		report.Breaches = append(report.Breaches, given.check(u.ID, u.Requests())...)
	}
	var err error
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

// play has the steps happen in their time and returns when all have ended.
func (w *world) play(start time.Time, steps []Step) {
	var lasting sync.WaitGroup
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(s.Begin)))
		end := w.strike(s)
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

// unserved returns the entries that do not serve each route of the newest table within the
// recovery time.
func unserved(c *callers, seed uint64, newest string) []int {
	var out []int
	until := time.Now().Add(recovery)
	probes := &callers{fronts: c.fronts, start: c.start}
	for entry := range c.fronts {
		if !probes.served(entry, seed, newest, until) {
			out = append(out, entry)
		}
	}
	return out
}

// panics returns the logs that tell of a panic or a data race.
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

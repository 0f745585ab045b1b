//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"time"
)

// run is a run of a request at a worker.
type run struct{ begun, end time.Time }

// overlap is how long after a request has begun at another worker the worker before may still work
// on it.
const overlap = 400 * time.Millisecond

var runLine = regexp.MustCompile(`(?m)^(\S+) (begun|end) at (\S+): (\S+)$`)

// findTwice reads what the workers have printed, and reports the requests that had begun at one
// worker while another worked on them for longer than the overlap.
func findTwice(args []string) int {
	flags := flag.NewFlagSet("twice", flag.ExitOnError)
	_ = flags.Parse(args)
	runs := map[string]map[string]*run{}
	now := time.Now()
	for _, file := range flags.Args() {
		text, err := os.ReadFile(file)
		if err != nil {
			return fail(err)
		}
		for _, line := range runLine.FindAllStringSubmatch(string(text), -1) {
			at, err := time.Parse("15:04:05.000", line[1])
			if err != nil {
				return fail(err)
			}
			worker, request := line[3], line[4]
			if runs[request] == nil {
				runs[request] = map[string]*run{}
			}
			if runs[request][worker] == nil {
				runs[request][worker] = &run{end: now}
			}
			if line[2] == "begun" {
				runs[request][worker].begun = at
			} else {
				runs[request][worker].end = at
			}
		}
	}
	status := held
	for request, at := range runs {
		for first, a := range at {
			for second, b := range at {
				if first == second || a.begun.IsZero() || b.begun.IsZero() || b.begun.Before(a.begun) || !a.end.After(b.begun.Add(overlap)) {
					continue
				}
				fmt.Printf("%s went on at %s and was still worked on at %s %v later\n", request, second, first, a.end.Sub(b.begun))
				status = broken
			}
		}
	}
	return status
}

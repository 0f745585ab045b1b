//go:build review

// Command rig plays the scripts of the review's cases: the stand-ins of the platform's store, of workers
// and of clients. It writes the settings of the project's own process, which the script starts, and judges
// only what clients and workers see. It exits with 1 if the case's rule was broken, 0 if it held, and 2 if
// the case could not run. The tag keeps it out of the default build and tests.
package main

import (
	"fmt"
	"os"
	"time"
)

// results of a run.
const (
	held = iota
	broken
	notRun
)

// play is a case. trouble is set unless the run is without the disruption. It reports whether the rule
// was broken.
type play func(b *bed, trouble bool) (bool, error)

var plays = map[string]play{"burst": playBurst, "pieces": playPieces, "steps": playSteps, "foreign": playForeign, "writers": playWriters}

var errUsage = problem("usage: rig CASE FOLDER RECORD")

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	r := &record{began: time.Now(), file: file}
	r.add("case %s, trouble %v", os.Args[1], trouble)
	bad, err := playOne(plays[os.Args[1]], os.Args[2], r, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	case bad:
		r.add("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return held
}

func playOne(p play, dir string, r *record, trouble bool) (bool, error) {
	b, err := newBed(dir, r)
	if err != nil {
		return false, err
	}
	defer b.close()
	return p(b, trouble)
}

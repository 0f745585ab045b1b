//go:build review

// Command drive plays a script of the review's cases beside those of review/rig: the stand-ins of the platform's
// store, of workers, of clients and of the network to the store. It writes the settings of the entries, which the
// script starts, and judges the answers. The tag keeps it out of the default build and tests.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is one run of a case. dir has the settings of the entries, and trouble is set unless the run goes
// without the disruption.
type play struct {
	dir     string
	trouble bool
	record  *record
}

var cases = map[string]func(*play) int{"silent": playSilent}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE DIR RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	p := &play{dir: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", record: &record{file: file, began: time.Now()}}
	p.record.add("case %s, trouble %t", os.Args[1], p.trouble)
	code := cases[os.Args[1]](p)
	p.record.add("exit %d", code)
	if err := file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// path returns the path of a file in the folder of the run.
func (p *play) path(name string) string { return filepath.Join(p.dir, name) }

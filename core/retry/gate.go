package retry

import "time"

// Gate keeps a process from its part of the fixed number until all hosts of the service are known to have run,
// or ended, since the process had the part. What its predecessor sent, and what others sent while their parts
// were larger, has arrived then. The zero value is closed. It is not safe for concurrent use.
type Gate struct {
	// since is when the process first had a part.
	since time.Time
	open  bool
}

// Part returns what the process may use of its part now. haveRun reports whether all hosts of the service
// are known to have run, or ended, since a time; it is called while the gate is closed.
func (g *Gate) Part(now time.Time, part float64, haveRun func(since time.Time) bool) float64 {
	if part > 0 && g.since.IsZero() {
		g.since = now
	}
	if g.since.IsZero() {
		return 0
	}
	g.open = g.open || haveRun(g.since)
	if !g.open {
		return 0
	}
	return part
}

// Since returns since when all hosts have to have run for the gate to open; false if it is open, or if the
// process has had no part yet.
func (g *Gate) Since() (time.Time, bool) { return g.since, !g.open && !g.since.IsZero() }

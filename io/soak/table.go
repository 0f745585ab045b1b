package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// applyTime is within which a routing table is in force at all entries in touch once one of
	// them has it.
	applyTime = 3 * time.Second
	// probeGap is the pause between two requests that ask an entry for the newest table.
	probeGap = 200 * time.Millisecond
	// probePrefix begins the IDs of these requests.
	probePrefix = "table-"
)

// probeTables asks each entry for the route that only the newest routing table has, until the
// context ends. newest returns the path of that route.
func (c *callers) probeTables(ctx context.Context, newest func() string) {
	for entry := range c.entryAddrs {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				q := Result{
					ID: fmt.Sprintf("%s%d-%d", probePrefix, entry, n), Route: Again, Path: newest(), Entry: entry, Key: "key-free", Customer: "free",
				}
				c.add(c.send(transport, q, "m-1"))
				time.Sleep(probeGap)
			}
		}()
	}
}

// isProbe reports whether a request asks for the newest table's route.
func (r *Result) isProbe() bool { return strings.HasPrefix(r.ID, probePrefix) }

// lateTables returns breaches for entries in touch that call a route unknown which another entry in
// touch has had for applyTime.
func (c *signalChecker) lateTables(results []Result) []Breach {
	type table struct {
		path  string
		entry int
	}
	// had is when each entry was first seen to have a table.
	had := map[table]time.Duration{}
	probes := slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return !r.isProbe() })
	slices.SortFunc(probes, func(a, b Result) int { return cmp.Compare(a.Ended, b.Ended) })
	var breaches []Breach
	for _, r := range probes {
		switch r.Status {
		case http.StatusOK:
			if t := (table{r.Path, r.Entry}); had[t] == 0 {
				had[t] = r.Ended // the probes are in order of time
			}
		case http.StatusNotFound:
			for t, at := range had {
				if t.path == r.Path && r.Began > at+applyTime && !c.mayLack(r.Entry, at, r.Ended) && !c.mayLack(t.entry, at, r.Ended) {
					breaches = append(breaches, Breach{Promise: "a routing table is in force in time", Result: r})
					break
				}
			}
		}
	}
	return breaches
}

// mayLack reports whether an entry may go without the newest table in a span of time: it was not
// running all the while, or the store lost a table. It has the other entries to learn from while the
// store is out.
func (c *signalChecker) mayLack(entry int, from, to time.Duration) bool {
	return c.excused(entry, from-contactTime, to) || slices.ContainsFunc(c.steps, func(s Step) bool {
		return s.Kind == RestoreStore && s.Begin < to && s.End > from-contactTime
	})
}

package losses

import (
	"maps"
	"slices"
)

// Table counts requests by route and cause. The zero Table is ready for use.
type Table struct {
	counts map[string]*[causeCount]int
}

// Add counts a request.
func (t *Table) Add(r *Request) {
	if t.counts == nil {
		t.counts = map[string]*[causeCount]int{}
	}
	row := t.counts[r.Route]
	if row == nil {
		row = &[causeCount]int{}
		t.counts[r.Route] = row
	}
	row[r.Cause()]++
}

// Row is the number of a route's requests with one cause.
type Row struct {
	Cause Cause
	Count int
}

// Routes returns the names of the routes that have requests, sorted.
func (t *Table) Routes() []string { return slices.Sorted(maps.Keys(t.counts)) }

// Rows returns a row for each cause that a route's requests have, in the order of
// the causes.
func (t *Table) Rows(route string) []Row {
	var out []Row
	if t.counts[route] == nil {
		return nil
	}
	for c, n := range t.counts[route] {
		if n > 0 {
			out = append(out, Row{Cause: Cause(c), Count: n})
		}
	}
	return out
}

// Total returns the number of a route's requests, and how many of them were lost
// or late.
func (t *Table) Total(route string) (all, lost int) {
	for _, r := range t.Rows(route) {
		all += r.Count
		if r.Cause != None {
			lost += r.Count
		}
	}
	return all, lost
}

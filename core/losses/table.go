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

// Row is what became of one route's requests for one cause.
type Row struct {
	Cause Cause
	Count int
}

// Routes returns the routes that have requests, sorted.
func (t *Table) Routes() []string { return slices.Sorted(maps.Keys(t.counts)) }

// Rows returns the causes of a route's requests in their order, those that occur.
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

// Total returns how many requests a route has, and how many of them were lost or
// late.
func (t *Table) Total(route string) (all, lost int) {
	for _, r := range t.Rows(route) {
		all += r.Count
		if r.Cause != None {
			lost += r.Count
		}
	}
	return all, lost
}

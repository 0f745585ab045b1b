package soak

import (
	"slices"
	"time"

	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// What entries may repeat of the requests for a service, in each retrySpan: retryRatio of them, and
// retrySpare beside that.
const (
	retryRatio = 0.2
	retrySpare = 10
	retrySpan  = 10 * time.Second
)

// overRetryBudget finds a window in which the upstreams of a service received more requests beyond
// the first arrival of each than the entries may repeat. sent are the times at which callers sent
// requests for the service, since the start of the run.
func overRetryBudget(start time.Time, sent []time.Duration, seen []stand.ReceivedRequest) []Breach {
	slices.SortFunc(seen, func(a, b stand.ReceivedRequest) int { return a.At.Compare(b.At) })
	slices.Sort(sent)
	first := map[string]bool{}
	var repeats []time.Duration
	var last string
	for _, s := range seen {
		id, _, _ := plat.Origin(s.Header)
		if first[string(id)] {
			repeats, last = append(repeats, s.At.Sub(start)), string(id)
		}
		first[string(id)] = true
	}
	in := func(from time.Duration) int {
		at := func(t time.Duration) int { n, _ := slices.BinarySearch(sent, t); return n }
		return at(from+retrySpan) - at(from)
	}
	for i, from := range repeats {
		n, _ := slices.BinarySearch(repeats, from+retrySpan)
		requests := max(in(from), in(from-retrySpan/2), in(from-retrySpan))
		if float64(n-i) > retryRatio*float64(requests)+retrySpare {
			return []Breach{{Promise: "a service receives no more repeats than its budget", Result: Result{ID: last, Began: from}, Ran: n - i}}
		}
	}
	return nil
}

// overRetryBudgets applies overRetryBudget to both services.
func (t *testbed) overRetryBudgets(start time.Time, results []Result) []Breach {
	var out []Breach
	for _, plain := range []bool{false, true} {
		var seen []stand.ReceivedRequest
		for _, u := range t.upstreams {
			if u.Plain == plain {
				seen = append(seen, u.Requests()...)
			}
		}
		var sent []time.Duration
		for _, r := range results {
			if isStream(r.Route) != plain {
				sent = append(sent, r.Began)
			}
		}
		out = append(out, overRetryBudget(start, sent, seen)...)
	}
	return out
}

package soak

import (
	"slices"
	"time"

	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// repeatBudget bounds the repeats that the upstreams of a service receive in each span: a ratio of the
// requests for the service, and a fixed number.
type repeatBudget struct {
	ratio, spare float64
	span         time.Duration
}

// soakBudget is the budget of the entries of a Run.
var soakBudget = repeatBudget{ratio: 0.2, spare: 10, span: 10 * time.Second}

// RepeatWindow is a span of a repeatBudget: when it begins, since the start of the run, the repeats that
// arrived in it and those that are allowed.
type RepeatWindow struct {
	From    time.Duration
	Repeats int
	Allowed float64
	// All is the number of repeats in the whole run.
	All int
	// first is the request of the first repeat in the window.
	first string
}

// Over returns by how many the repeats are over the bound; it is negative if they are not.
func (w RepeatWindow) Over() float64 { return float64(w.Repeats) - w.Allowed }

// worst returns the window in which the upstreams of a service received most requests over the bound, beyond
// the first arrival of each. sent are the times at which callers sent requests for the service, since the
// start of the run.
func (b repeatBudget) worst(start time.Time, sent []time.Duration, seen []stand.ReceivedRequest) RepeatWindow {
	slices.SortFunc(seen, func(a, b stand.ReceivedRequest) int { return a.At.Compare(b.At) })
	slices.Sort(sent)
	first := map[string]bool{}
	var repeats []time.Duration
	var ids []string
	for _, s := range seen {
		id, _, _ := plat.Origin(s.Header)
		if first[string(id)] {
			repeats, ids = append(repeats, s.At.Sub(start)), append(ids, string(id))
		}
		first[string(id)] = true
	}
	in := func(from time.Duration) int {
		at := func(t time.Duration) int { n, _ := slices.BinarySearch(sent, t); return n }
		return at(from+b.span) - at(from)
	}
	worst := RepeatWindow{Allowed: b.spare}
	for i, from := range repeats {
		n, _ := slices.BinarySearch(repeats, from+b.span)
		requests := max(in(from), in(from-b.span/2), in(from-b.span))
		w := RepeatWindow{From: from, Repeats: n - i, Allowed: b.ratio*float64(requests) + b.spare, All: len(repeats), first: ids[i]}
		if i == 0 || w.Over() > worst.Over() {
			worst = w
		}
	}
	return worst
}

// overRetryBudgets finds the services whose upstreams received more repeats than the budget allows.
func (t *testbed) overRetryBudgets(start time.Time, results []Result) []Breach {
	var out []Breach
	for _, w := range t.repeatWindows(start, results) {
		if w.Over() > 0 {
			out = append(out, Breach{Promise: "a service receives no more repeats than its budget", Result: Result{ID: w.first, Began: w.From}, Ran: w.Repeats})
		}
	}
	return out
}

// repeatWindows returns the worst window of each service, that of the engines first.
func (t *testbed) repeatWindows(start time.Time, results []Result) []RepeatWindow {
	var out []RepeatWindow
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
		out = append(out, t.budget.worst(start, sent, seen))
	}
	return out
}

package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"radishwell/core"
	plat "radishwell/platform"
	"radishwell/platform/stand"
)

// Breach is the violation of a promise by one request.
type Breach struct {
	Promise string
	Result  Result
	// Ran is the number of runs or requests that were counted.
	Ran int
}

// String describes the breach in one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s: request %s route %s entry %d from %v to %v status %d whole %v ran %d body %.60q",
		b.Promise, b.Result.ID, routePaths[b.Result.Route], b.Result.Entry, b.Result.Began.Round(time.Millisecond),
		b.Result.Ended.Round(time.Millisecond), b.Result.Status, b.Result.Complete, b.Ran, b.Result.Body)
}

// promise is a guarantee on which callers may rely.
type promise struct {
	name string
	// kept reports whether a result complies with the promise. ran is the number of times
	// that upstreams ran the request.
	kept func(r *Result, ran int) bool
}

// promises lists the promises that are checked for each request.
var promises = []promise{
	{"a request that may run once runs once", func(r *Result, ran int) bool {
		return r.Route == Again || r.Route == Resumed || ran <= 1
	}},
	{"a repeatable request reaches two upstreams at most", func(r *Result, ran int) bool {
		return r.Route != Again || ran <= 2
	}},
	{"a refused request did not run", func(r *Result, ran int) bool { return !isRefusal(r.Status) || ran == 0 }},
	{"a success was run", func(r *Result, ran int) bool { return r.Status != http.StatusOK || ran > 0 }},
	{"a success is signed", func(r *Result, _ int) bool {
		return r.Status != http.StatusOK || strings.HasPrefix(r.Signer, "signed-by-")
	}},
	{"an answer is one upstream's and whole", func(r *Result, _ int) bool {
		if r.Status != http.StatusOK || r.Signer == "" || !r.Complete || isStream(r.Route) {
			return true // other promises cover these results
		}
		return string(r.Body) == "answer of "+strings.TrimPrefix(r.Signer, "signed-by-")
	}},
	{"a stream's events come in order and once, and end only at the last", func(r *Result, _ int) bool {
		if r.Status != http.StatusOK || !isStream(r.Route) {
			return true
		}
		n, rest := countEvents(r.Body, r.After)
		if !r.Complete {
			return n >= 0
		}
		return n == streamEvents && rest == 0
	}},
	{"an answer without framing has no part of an event and nothing of its own", func(r *Result, _ int) bool {
		if !r.Unframed || r.Status != http.StatusOK {
			return true
		}
		if isStream(r.Route) {
			n, rest := countEvents(r.Body, r.After)
			return n > 0 && rest == 0
		}
		return strings.HasPrefix("answer of "+strings.TrimPrefix(r.Signer, "signed-by-"), string(r.Body))
	}},
	{"a key in no table is refused, a key in a table is not", func(r *Result, ran int) bool {
		if r.Customer == "" {
			return ran == 0 && r.Status != http.StatusOK
		}
		return r.Status != http.StatusUnauthorized
	}},
	{"a request that exists is not called unknown", func(r *Result, _ int) bool {
		return r.Status != http.StatusNotFound || r.isProbe()
	}},
}

func isStream(r Route) bool { return r == Stream || r == Resumed }

func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// eventPattern matches an event, and eventVersion the version that made it.
var (
	eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: event (\d+)( at \S+)?\n\n`)
	eventVersion = regexp.MustCompile(`\ndata: event \d+ at (\S+)\n\n`)
)

// countEvents returns the number of the last complete event of a stream whose first events, up
// to after, came in earlier answers, and the number of bytes behind it. n is -1 if the events
// aren't numbered in order.
func countEvents(body []byte, after int) (n, rest int) {
	n = after
	for {
		m := eventPattern.FindSubmatch(body)
		if m == nil {
			// The rest may be the beginning of one event, but not more.
			if bytes.Contains(body, []byte("\n\n")) {
				return -1, len(body)
			}
			return n, len(body)
		}
		n++
		if want := fmt.Sprint(n); string(m[1]) != want || string(m[2]) != want {
			return -1, len(body)
		}
		body = body[len(m[0]):]
	}
}

// check returns the breaches of promises by results.
func check(results []Result, ran func(id string) int) []Breach {
	var out []Breach
	for i := range results {
		r := &results[i]
		runs := ran(r.ID)
		for _, p := range promises {
			if !p.kept(r, runs) {
				out = append(out, Breach{Promise: p.name, Result: *r, Ran: runs})
			}
		}
	}
	return out
}

// misattributed finds requests that upstreams received with a key, or with the name of
// another customer than the owner of the key.
func misattributed(results []Result, seen []stand.ReceivedRequest) []Breach {
	holders := map[core.RequestID]string{}
	for _, r := range results {
		holders[core.RequestID(r.ID)] = r.Customer
	}
	var out []Breach
	for _, s := range seen {
		id, customer, hasKey := plat.Origin(s.Header)
		holder, ok := holders[id]
		if hasKey || ok && string(customer) != holder {
			out = append(out, Breach{Promise: "an upstream learns the customer and no key", Result: Result{ID: string(id), Customer: holder}})
		}
	}
	return out
}

// unframedByEntry finds answers without framing to requests that every upstream answered with
// framing.
func unframedByEntry(results []Result, seen []stand.ReceivedRequest) []Breach {
	dropped := map[string]bool{}
	for _, s := range seen {
		id, _, _ := plat.Origin(s.Header)
		dropped[string(id)] = dropped[string(id)] || s.Unframed
	}
	var out []Breach
	for _, r := range results {
		if r.Unframed && !dropped[r.ID] {
			out = append(out, Breach{Promise: "an answer keeps its framing", Result: r})
		}
	}
	return out
}

const (
	// limitedWindow is the time over which the runs of the limited customer are counted.
	limitedWindow = 8 * time.Second
	// limitedSlack is the number of requests that the customer may run beyond its
	// allowance, according to the settings of the entries.
	limitedSlack = 16
)

// overAllowance finds a window in which more requests of the limited customer ran than
// its allowance permits.
func overAllowance(results []Result, ran func(id string) int) []Breach {
	var sent []Result
	for _, r := range results {
		if r.Customer == "limited" && ran(r.ID) > 0 {
			sent = append(sent, r)
		}
	}
	slices.SortFunc(sent, func(a, b Result) int { return cmp.Compare(a.Began, b.Began) })
	most := limitedRate*int(limitedWindow.Seconds()) + limitedRate + limitedSlack
	for i := range sent {
		last := i + most
		// A request runs at an unknown time between Began and Ended, so the window has to
		// extend from the first Began to the last Ended.
		if last < len(sent) && latest(sent[i:last+1])-sent[i].Began < limitedWindow {
			return []Breach{{Promise: "a customer runs no more than its allowance", Result: sent[i], Ran: last - i + 1}}
		}
	}
	return nil
}

func latest(list []Result) time.Duration {
	end := time.Duration(0)
	for _, r := range list {
		end = max(end, r.Ended)
	}
	return end
}

// cutByStop finds requests that a planned stop cut off: an upstream ran them, but they
// ended without an answer, and no other fault was active since shortly before they were
// sent. A stopped process ends within its grace period.
func cutByStop(results []Result, steps []Step, ran func(id string) int) []Breach {
	var out []Breach
	for _, r := range results {
		if r.Unsent || r.Status != 0 || r.Ended-r.Began >= callerTimeout || ran(r.ID) == 0 {
			continue
		}
		if !disturbed(steps, r.Began-settleTime, r.Ended, StopEntry) {
			out = append(out, Breach{Promise: "a planned stop cuts nothing", Result: r, Ran: ran(r.ID)})
		}
	}
	return out
}

// settleTime is the time after the end of a fault during which it may still affect
// requests. A process that was killed is running again by then.
const settleTime = 3 * time.Second

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

// Breach is a promise that was broken.
type Breach struct {
	Promise string
	Result  Result
	Ran     int
}

// String tells the breach in a line.
func (b Breach) String() string {
	return fmt.Sprintf("%s: request %s route %s entry %d from %v to %v status %d whole %v ran %d body %.60q",
		b.Promise, b.Result.ID, routePaths[b.Result.Route], b.Result.Entry, b.Result.Began.Round(time.Millisecond),
		b.Result.Ended.Round(time.Millisecond), b.Result.Status, b.Result.Whole, b.Ran, b.Result.Body)
}

// promise is one thing that callers may rely on.
type promise struct {
	name string
	// kept tells whether a result keeps the promise; ran counts the upstreams' runs
	// of the request.
	kept func(r *Result, ran int) bool
}

// promises is the table of what is checked of each request.
var promises = []promise{
	{"a request that may run once runs once", func(r *Result, ran int) bool {
		return r.Route == Again || r.Route == Resumed || ran <= 1
	}},
	{"a repeatable request reaches two upstreams at most", func(r *Result, ran int) bool {
		return r.Route != Again || ran <= 2
	}},
	{"a refusal is true", func(r *Result, ran int) bool { return !refusal(r.Status) || ran == 0 }},
	{"a success was run", func(r *Result, ran int) bool { return r.Status != http.StatusOK || ran > 0 }},
	{"a success is signed", func(r *Result, _ int) bool {
		return r.Status != http.StatusOK || strings.HasPrefix(r.Signer, "signed-by-")
	}},
	{"an answer is one upstream's and whole", func(r *Result, _ int) bool {
		if r.Status != http.StatusOK || r.Signer == "" || !r.Whole || isStream(r.Route) {
			return true // or it breaks another promise
		}
		return string(r.Body) == "answer of "+strings.TrimPrefix(r.Signer, "signed-by-")
	}},
	{"a stream's events come in order and once, and end only at the last", func(r *Result, _ int) bool {
		if r.Status != http.StatusOK || !isStream(r.Route) {
			return true
		}
		n, rest := countEvents(r.Body)
		if !r.Whole {
			return n >= 0
		}
		return n == streamEvents && rest == 0
	}},
	{"a key in no table is refused, one that is there is not", func(r *Result, ran int) bool {
		if r.Customer == "" {
			return ran == 0 && r.Status != http.StatusOK
		}
		return r.Status != http.StatusUnauthorized
	}},
	{"a request that exists is not called unknown", func(r *Result, _ int) bool { return r.Status != http.StatusNotFound }},
}

func isStream(r Route) bool { return r == Stream || r == Resumed }

func refusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

var event = regexp.MustCompile(`^id: (\d+)\ndata: event (\d+)\n\n`)

// countEvents returns the number of events from the first in order, -1 where one is
// out of order, and the bytes behind them.
func countEvents(body []byte) (n, rest int) {
	for {
		m := event.FindSubmatch(body)
		if m == nil {
			// What is left may be the beginning of one event, not more.
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

// check holds results against the promises.
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

// misnamed finds requests that upstreams got with a key, or in another customer's name
// than their key's.
func misnamed(results []Result, seen []stand.ReceivedRequest) []Breach {
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

const (
	// limitedWindow is the time over which the limited customer's runs are counted.
	limitedWindow = 8 * time.Second
	// limitedSlack is the requests that it may run beyond its allowance, as the entries'
	// settings say.
	limitedSlack = 16
)

// overAllowance finds a window in which the limited customer's requests ran more often
// than its allowance lets them.
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
		// A request runs between its beginning and its end; the window is the shortest that
		// surely holds all of them.
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

// cutByStop finds requests that a planned stop cut off: run by an upstream and ended
// without an answer, while nothing else went wrong from before they were sent. The
// end of a stopped process comes within its grace.
func cutByStop(results []Result, steps []Step, ran func(id string) int) []Breach {
	var out []Breach
	for _, r := range results {
		if r.Unsent || r.Status != 0 || r.Ended-r.Began >= deadline || ran(r.ID) == 0 {
			continue
		}
		if !disturbed(steps, StopEntry, r.Began-calm, r.Ended) {
			out = append(out, Breach{Promise: "a planned stop cuts nothing", Result: r, Ran: ran(r.ID)})
		}
	}
	return out
}

// calm is how long before a request nothing else may have gone wrong for a cut to
// be the planned stop's: a process that was killed is back by then.
const calm = 3 * time.Second

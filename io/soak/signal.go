package soak

import (
	"cmp"
	"slices"
	"time"

	plat "radishwell/platform"
	"radishwell/platform/stand"
)

const (
	// leaveTime is how long after an entry was told that an upstream leaves its callers'
	// new requests may still reach it.
	leaveTime = 2 * time.Second
	// hearTime is how long after an answer what it says may not yet count.
	hearTime = 500 * time.Millisecond
	// mostInBackoff is how many requests may reach an upstream that wants none.
	mostInBackoff = 2
	// paceWindow is the time over which the requests to an upstream that names a rate are
	// counted; paceRatio of that rate and paceSlack besides may reach it.
	paceWindow = 4 * time.Second
	paceRatio  = 1.5
	paceSlack  = 5
)

// arrival is a request as an upstream and its caller saw it, by the time of the run.
type arrival struct {
	*stand.ReceivedRequest
	result *Result
	at     time.Duration
	// told is when the entry surely knew what the answer says of the upstream; negative
	// where that is not sure.
	told time.Duration
}

// signals holds what upstreams said of themselves against what they got afterwards.
type signals struct {
	start   time.Time
	results map[string]*Result
	steps   []Step
}

// check finds the requests that one upstream got against its signals.
func (w *signals) check(upstream string, seen []stand.ReceivedRequest) []Breach {
	lives := map[int64][]*arrival{}
	for i := range seen {
		s := &seen[i]
		id, _, _ := plat.Origin(s.Header)
		if r := w.results[string(id)]; r != nil {
			lives[s.Born] = append(lives[s.Born], w.arrival(upstream, s, r))
		}
	}
	var out []Breach
	for _, life := range lives {
		slices.SortFunc(life, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
		out = append(out, w.leaving(life)...)
		out = append(out, w.inBackoff(life)...)
		for _, span := range limitedSpans(life) {
			out = append(out, w.limited(span)...)
		}
	}
	return out
}

// limitedSpans returns the arrivals of each time in which an upstream names a rate.
func limitedSpans(life []*arrival) (out [][]*arrival) {
	open := false
	for _, a := range life {
		switch {
		case a.Signals.Limit == nil:
			open = false
		case open:
			out[len(out)-1] = append(out[len(out)-1], a)
		default:
			out, open = append(out, []*arrival{a}), true
		}
	}
	return out
}

func (w *signals) arrival(upstream string, s *stand.ReceivedRequest, r *Result) *arrival {
	a := &arrival{ReceivedRequest: s, result: r, at: s.At.Sub(w.start), told: -1}
	if r.Status == 200 && r.Whole && r.Signer == "signed-by-"+upstream {
		a.told = r.Ended
	}
	return a
}

// leaving finds requests to an upstream that had said it leaves.
func (w *signals) leaving(life []*arrival) (out []Breach) {
	told := w.tellings(life, func(s stand.Signals) bool { return s.Leaving })
	for _, a := range life {
		at, ok := told[a.result.Entry]
		if ok && a.result.Began > at+leaveTime && !w.excused(a.result.Entry, at, a.at) {
			out = append(out, Breach{Promise: "an upstream that leaves gets no new requests", Result: *a.result})
		}
	}
	return out
}

// tellings returns when each entry first surely knew a signal.
func (w *signals) tellings(life []*arrival, says func(stand.Signals) bool) map[int]time.Duration {
	told := map[int]time.Duration{}
	for _, a := range life {
		if a.told < 0 || !says(a.Signals) {
			continue
		}
		if at, ok := told[a.result.Entry]; !ok || a.told < at {
			told[a.result.Entry] = a.told
		}
	}
	return told
}

// inBackoff finds requests to an upstream that had turned one of the entry's away and said
// for how long it wants no other.
func (w *signals) inBackoff(life []*arrival) (out []Breach) {
	for _, first := range life {
		if first.Signals.RetryAt.IsZero() || w.disturbed(first.at, first.at+hearTime) {
			continue
		}
		entry, from, till := first.result.Entry, first.at+hearTime, first.Signals.RetryAt.Sub(w.start)
		n := 0
		for _, a := range life {
			if a.result.Entry == entry && a.at >= from && a.at < till && !w.excused(entry, first.at, a.at) {
				n++
			}
		}
		if n > mostInBackoff {
			out = append(out, Breach{Promise: "an upstream that wants no requests for a time gets none", Result: *first.result, Ran: n})
		}
	}
	return out
}

// limited finds a window in which an upstream got more than the rate that it names, from
// entries that knew it.
func (w *signals) limited(span []*arrival) []Breach {
	told := w.tellings(span, func(s stand.Signals) bool { return s.Limit != nil })
	var sent []*arrival
	for _, a := range span {
		at, ok := told[a.result.Entry]
		if ok && a.at >= at+hearTime && !w.excused(a.result.Entry, at, a.at) {
			sent = append(sent, a)
		}
	}
	for i, a := range sent {
		n, rate := 0, 0.0
		for _, b := range sent[i:] {
			if b.at-a.at >= paceWindow {
				break
			}
			n++
			rate = max(rate, *b.Signals.Limit)
		}
		if float64(n) > paceRatio*paceWindow.Seconds()*rate+paceSlack {
			return []Breach{{Promise: "an upstream gets no more than the rate that it names", Result: *a.result, Ran: n}}
		}
	}
	return nil
}

// excused tells whether an entry may have forgotten what it was told, or could not act on
// it: it was restarted or stood still.
func (w *signals) excused(entry int, from, to time.Duration) bool {
	return slices.ContainsFunc(w.steps, func(s Step) bool {
		switch s.Kind {
		case KillEntry, StopEntry, PauseEntry:
			return s.Target%entries == entry && s.Begin < to && s.End+calm > from
		case KillAll:
			return s.Begin < to && s.End+calm > from
		}
		return false
	})
}

// disturbed tells whether answers of upstreams may have been lost in a span of time.
func (w *signals) disturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(w.steps, func(s Step) bool {
		switch s.Kind {
		case CutUpstream, DelayUpstream, ResetAll, HushAll, RestartUpstream, LeaveUpstream:
			return s.Begin < to && s.End+hearTime > from
		}
		return false
	})
}

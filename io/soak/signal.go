package soak

import (
	"cmp"
	"slices"
	"time"

	plat "radishwell/platform"
	"radishwell/platform/stand"
)

const (
	// leaveGrace is how long new requests may still reach a leaving upstream after the
	// entry has learnt that it leaves.
	leaveGrace = 2 * time.Second
	// signalDelay is the time after an answer within which its signals needn't be obeyed yet.
	signalDelay = 500 * time.Millisecond
	// maxInBackoff is the number of requests that may reach an upstream while it wants
	// none.
	maxInBackoff = 2
	// paceWindow is the time over which the requests to an upstream with a rate limit are
	// counted. Up to paceRatio times the limit plus paceSlack requests may reach it.
	paceWindow = 4 * time.Second
	paceRatio  = 1.5
	paceSlack  = 5
)

// arrival is a request that reached an upstream, with its result for the caller.
type arrival struct {
	*stand.ReceivedRequest
	result *Result
	// at is the time from the start of the run at which the upstream received the request.
	at time.Duration
	// knownAt is the time at which the entry certainly knew the signals of the answer. It
	// is negative if the entry may not have received the answer.
	knownAt time.Duration
}

// signalChecker compares the signals that upstreams sent in their answers with the
// requests that reached them afterwards.
type signalChecker struct {
	start   time.Time
	results map[string]*Result
	steps   []Step
	// saved is the age from which a stream goes on after a loss of all entries.
	saved time.Duration
}

// check returns the violations of the signals of one upstream by requests that it
// received.
func (c *signalChecker) check(upstream string, seen []stand.ReceivedRequest) []Breach {
	incarnations := map[int64][]*arrival{}
	for i := range seen {
		s := &seen[i]
		id, _, _ := plat.Origin(s.Header)
		if r := c.results[string(id)]; r != nil {
			incarnations[s.Born] = append(incarnations[s.Born], c.arrival(upstream, s, r))
		}
	}
	var out []Breach
	for _, incarnation := range incarnations {
		slices.SortFunc(incarnation, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
		out = append(out, c.leaving(incarnation)...)
		out = append(out, c.inBackoff(incarnation)...)
		for _, span := range limitedSpans(incarnation) {
			out = append(out, c.limited(span)...)
		}
	}
	return out
}

// limitedSpans returns, for each period in which an upstream signals a rate limit, the
// arrivals in it.
func limitedSpans(incarnation []*arrival) (out [][]*arrival) {
	open := false
	for _, a := range incarnation {
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

func (c *signalChecker) arrival(upstream string, s *stand.ReceivedRequest, r *Result) *arrival {
	a := &arrival{ReceivedRequest: s, result: r, at: s.At.Sub(c.start), knownAt: -1}
	if r.Status == 200 && r.Complete && r.Signer == "signed-by-"+upstream {
		a.knownAt = r.Ended
	}
	return a
}

// leaving finds requests to an upstream that had signalled that it leaves.
func (c *signalChecker) leaving(incarnation []*arrival) (out []Breach) {
	knownAt := c.firstKnown(incarnation, func(s stand.Signals) bool { return s.Leaving })
	for _, a := range incarnation {
		at, ok := knownAt[a.result.Entry]
		if ok && a.result.Began > at+leaveGrace && !c.excused(a.result.Entry, at, a.at) {
			out = append(out, Breach{Promise: "an upstream that leaves gets no new requests", Result: *a.result})
		}
	}
	return out
}

// firstKnown returns the time at which each entry first certainly knew a signal for
// which match returns true.
func (c *signalChecker) firstKnown(incarnation []*arrival, match func(stand.Signals) bool) map[int]time.Duration {
	knownAt := map[int]time.Duration{}
	for _, a := range incarnation {
		if a.knownAt < 0 || !match(a.Signals) {
			continue
		}
		if at, ok := knownAt[a.result.Entry]; !ok || a.knownAt < at {
			knownAt[a.result.Entry] = a.knownAt
		}
	}
	return knownAt
}

// inBackoff finds requests from an entry to an upstream that had shed one of its
// requests and signalled until when it wants no more.
func (c *signalChecker) inBackoff(incarnation []*arrival) (out []Breach) {
	for _, first := range incarnation {
		if first.Signals.RetryAt.IsZero() || c.disturbed(first.at, first.at+signalDelay) {
			continue
		}
		entry, from, till := first.result.Entry, first.at+signalDelay, first.Signals.RetryAt.Sub(c.start)
		n := 0
		for _, a := range incarnation {
			if a.result.Entry == entry && a.at >= from && a.at < till && !c.excused(entry, first.at, a.at) {
				n++
			}
		}
		if n > maxInBackoff {
			out = append(out, Breach{Promise: "an upstream that wants no requests for a time gets none", Result: *first.result, Ran: n})
		}
	}
	return out
}

// limited finds a window in which an upstream received more than its rate limit from
// entries that knew the limit.
func (c *signalChecker) limited(span []*arrival) []Breach {
	knownAt := c.firstKnown(span, func(s stand.Signals) bool { return s.Limit != nil })
	var sent []*arrival
	for _, a := range span {
		at, ok := knownAt[a.result.Entry]
		if ok && a.at >= at+signalDelay && !c.excused(a.result.Entry, at, a.at) {
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

// excused reports whether an entry may have lost a signal or been unable to act on it
// in a span of time, because it was restarted or paused.
func (c *signalChecker) excused(entry int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.steps, func(s Step) bool {
		switch s.Kind {
		case KillEntry, StopEntry, PauseEntry:
			return s.Target%entries == entry && s.Begin < to && s.End+settleTime > from
		case KillAll, KillEntries:
			return s.Begin < to && s.End+settleTime > from
		}
		return false
	})
}

// disturbed reports whether answers of upstreams may have been lost in a span of time.
func (c *signalChecker) disturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(c.steps, func(s Step) bool {
		switch s.Kind {
		case CutUpstream, DelayUpstream, ResetAll, SilenceAll, RestartUpstream, LeaveUpstream:
			return s.Begin < to && s.End+signalDelay > from
		}
		return false
	})
}

package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	plat "radishwell/platform"
	"radishwell/platform/stand"
)

const (
	// poisonPrefix begins the bodies of requests that crash upstreams.
	poisonPrefix = "poison"
	// poisonGap is the pause between a caller's repetitions of such a request.
	poisonGap = 100 * time.Millisecond
	// maxCrashes is the number of upstreams that a request may crash, and maxLate how often
	// entries may send it later than contactTime after that.
	maxCrashes  = 3
	maxLate     = 3
	contactTime = 3 * time.Second
	// crashingWindow is the time without faults over which late requests are counted.
	crashingWindow = 2 * time.Second
)

func hasKind(steps []Step, k Kind) bool {
	return slices.ContainsFunc(steps, func(s Step) bool { return s.Kind == k })
}

// repeatPoison starts a caller that repeats a request that crashes upstreams, at all entries
// in turn, until ctx ends.
func (c *callers) repeatPoison(ctx context.Context, s Step) {
	c.sendInTurn(ctx, func(n int) (q Result, model string) {
		return Result{
			ID: fmt.Sprintf("poison-%d-%d", s.Variant, n), Route: Route(s.Target % int(routeCount)), Text: fmt.Sprint(poisonPrefix, "-", s.Variant),
		}, "m-1"
	})
}

// sendInTurn starts a caller that sends the requests that next returns, numbered from 0, to all
// entries in turn, each on a connection of its own, until ctx ends.
func (c *callers) sendInTurn(ctx context.Context, next func(n int) (q Result, model string)) {
	c.repeat(ctx, func(n int) {
		q, model := next(n)
		q.Entry, q.Key, q.Customer = n%len(c.entryAddrs), "key-free", "free"
		c.add(c.sendNew(q, model))
	})
}

// repeat starts a caller that sends again and again, with a pause after each, until ctx ends. n counts
// from 0.
func (c *callers) repeat(ctx context.Context, send func(n int)) {
	c.wait.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			send(n)
			time.Sleep(poisonGap)
		}
	})
}

// arrivalsBy returns the requests that upstreams received, by a key and in order of time. It leaves
// out those whose key is empty.
func arrivalsBy(upstreams []*upstream, key func(*stand.ReceivedRequest) string) map[string][]stand.ReceivedRequest {
	out := map[string][]stand.ReceivedRequest{}
	for _, u := range upstreams {
		for _, r := range u.Requests() {
			if k := key(&r); k != "" {
				out[k] = append(out[k], r)
			}
		}
	}
	for _, seen := range out {
		slices.SortFunc(seen, func(a, b stand.ReceivedRequest) int { return a.At.Compare(b.At) })
	}
	return out
}

// poisonedBody returns the body of a request that crashes upstreams, empty for others.
func poisonedBody(r *stand.ReceivedRequest) string {
	if !strings.HasPrefix(string(r.Body), poisonPrefix) {
		return ""
	}
	return string(r.Body)
}

// crashing finds requests of one kind that entries sent on although the kind had crashed so many
// upstreams.
func (c *signalChecker) crashing(kinds map[string][]stand.ReceivedRequest, maxCrashes int, promise string) []Breach {
	var out []Breach
	for _, seen := range kinds {
		if b, ok := c.sentAfterCrashes(seen, maxCrashes); ok {
			b.Promise = promise
			out = append(out, b)
		}
	}
	return out
}

// sentAfterCrashes checks the arrivals of requests that crash upstreams, in order of time. They may
// crash so many upstreams before they have to be known.
func (c *signalChecker) sentAfterCrashes(seen []stand.ReceivedRequest, maxCrashes int) (Breach, bool) {
	crashes := crashTimes(seen)
	if len(crashes) < maxCrashes {
		return Breach{}, false
	}
	known, late := crashes[maxCrashes-1].Sub(c.start)+contactTime, 0
	for _, r := range seen {
		at := r.At.Sub(c.start)
		id, _, _ := plat.Origin(r.Header)
		result := c.results[string(id)]
		if result != nil && at > known && !c.outOfTouch(result.Entry, at-contactTime, at) {
			if late++; late > maxLate {
				return Breach{Result: *result, Ran: len(seen)}, true
			}
		}
	}
	return Breach{}, false
}

// crashTimes returns when requests crashed their upstreams, in order.
func crashTimes(seen []stand.ReceivedRequest) (out []time.Time) {
	for _, r := range seen {
		if !r.CrashedAt.IsZero() {
			out = append(out, r.CrashedAt)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// outOfTouch reports whether an entry, or its connection to the store, was disturbed in a span
// of time.
func (c *signalChecker) outOfTouch(entry int, from, to time.Duration) bool {
	return c.excused(entry, from, to) || slices.ContainsFunc(c.steps, func(s Step) bool {
		switch s.Kind {
		case CutStore, StoreDown, StoreSilent, StoreLossy, RestoreStore, ResetAll, SilenceAll, NarrowStore:
			return s.Begin < to && s.End > from
		}
		return false
	})
}

package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"radishwell/io/loop"
)

const (
	// fallGap is the pause between two crashes of upstreams, of which up to maxFalling crash at once.
	// Answers take longer by twice fallDelay, so that most requests are in progress at crashes.
	fallGap    = 400 * time.Millisecond
	maxFalling = 3
	fallDelay  = 200 * time.Millisecond
	// maxDenied and deniedShare are the proper requests that may be refused for good: some, and a
	// share of all.
	maxDenied   = 5
	deniedShare = 1. / 500
)

// repeatProper starts a caller that sends the same proper request to all entries at once, again and
// again, until ctx ends.
func (c *callers) repeatProper(ctx context.Context, s Step) {
	c.repeat(ctx, func(n int) {
		var copies sync.WaitGroup
		for entry := range c.entryAddrs {
			q := Result{
				ID: fmt.Sprintf("same-%d-%d-%d", s.Variant, n, entry), Route: Route(s.Target % int(routeCount)), Text: fmt.Sprint("same-", s.Variant),
				Entry: entry, Key: "key-free", Customer: "free",
			}
			copies.Go(func() { c.add(c.sendNew(q, "m-1")) })
		}
		copies.Wait()
	})
}

// fall has upstreams crash for reasons of their own, several at once, while a caller repeats a
// proper request. The returned function ends the crashes.
func (t *testbed) fall(s Step) (end func()) {
	t.startProper(s)
	for _, u := range t.upstreams {
		u.box.Delay(fallDelay)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; loop.Sleep(ctx, fallGap); n++ {
			for i := range 1 + (s.Variant+n)%maxFalling {
				t.restart(t.upstreams[(s.Target+n+i)%len(t.upstreams)])
			}
		}
	}()
	return func() {
		stop()
		<-ended
		for _, u := range t.upstreams {
			u.box.Heal()
		}
	}
}

// isProper reports whether a request may be served: its key is known and it crashes no upstream.
func (r *Result) isProper() bool {
	if r.Customer == "" || strings.HasPrefix(r.Text, poisonPrefix) {
		return false
	}
	for _, id := range r.Parts {
		if strings.HasPrefix(id, poisonPart) {
			return false
		}
	}
	return true
}

// deniesForGood reports whether a status says that the request will never be served, and is not an
// upstream's.
func (r *Result) deniesForGood() bool {
	return r.Status >= http.StatusMultipleChoices && r.Status < http.StatusInternalServerError && !isRefusal(r.Status) && r.Signer == ""
}

// denied returns a breach if too many proper requests were refused for good.
func denied(results []Result) []Breach {
	var found []Result
	counted := 0
	for _, r := range results {
		if r.isProbe() {
			continue // its route comes and goes with the tables
		}
		counted++
		if r.isProper() && r.deniesForGood() {
			found = append(found, r)
		}
	}
	if float64(len(found)) <= maxDenied+deniedShare*float64(counted) {
		return nil
	}
	return []Breach{{Promise: "proper requests are not refused for good", Result: found[0], Ran: len(found)}}
}
